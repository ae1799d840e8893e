#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryreel::config
{

/// A text by what it shares with a base: so many first and last bytes, and what stands between them. Registers are large and changes to them small, so that
/// this is what travels and is logged.
struct TextDelta {
    std::uint32_t prefixBytes = 0;
    std::uint32_t suffixBytes = 0;
    std::string middle;

    static TextDelta between(const std::string &base, const std::string &text);

    /// Empty when the base is too short for it.
    std::optional<std::string> appliedTo(const std::string &base) const;
};

} // namespace cranberryreel::config
