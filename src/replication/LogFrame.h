#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::replication
{

/// The frames of a log file: a mark, a length, a checksum and the payload, padded to eight bytes. One frame is one write and sync, so a frame that cannot be
/// read is a torn end of the file unless a readable one follows it.
class LogFrame
{
public:
    /// What a place of a file holds.
    struct Found {
        std::string_view payload;
        std::size_t next = 0; ///< The offset after the frame.
    };

    static std::string encode(std::string_view payload);

    /// Nothing when no whole frame with a right checksum begins at `offset`.
    static std::optional<Found> read(std::string_view file, std::size_t offset);

    /// Does any readable frame begin after `offset`?
    static bool anyAfter(std::string_view file, std::size_t offset);
};

} // namespace cranberryreel::replication
