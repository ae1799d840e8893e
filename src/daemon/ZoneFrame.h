#pragma once

#include <optional>
#include <string>

namespace cranberryreel::daemon
{

/// A message between members of one zone group. All zone groups share one link channel, so a frame holds the zone's name, a zero byte and the group's
/// message.
struct ZoneFrame {
    std::string zone;
    std::string bytes;

    std::string encode() const
    {
        return this->zone + '\0' + this->bytes;
    }

    /// Returns nullopt if the payload has no zone name.
    static std::optional<ZoneFrame> decode(const std::string &payload)
    {
        const std::size_t end = payload.find('\0');
        if (end == std::string::npos) {
            return std::nullopt;
        }
        return ZoneFrame{payload.substr(0, end), payload.substr(end + 1)};
    }
};

} // namespace cranberryreel::daemon
