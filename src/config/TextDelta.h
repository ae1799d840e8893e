#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryreel::config
{

/// Difference between a text and its base: the lengths of the common prefix and suffix, and the text between them. Registers are large and changes to them
/// small, so only the difference is sent and stored in the log.
struct TextDelta {
    std::uint32_t prefixBytes = 0;
    std::uint32_t suffixBytes = 0;
    std::string middle;

    static TextDelta between(const std::string &base, const std::string &text);

    /// Rebuilds the text from its base; nullopt when the base is too short.
    std::optional<std::string> applyTo(const std::string &base) const;
};

} // namespace cranberryreel::config
