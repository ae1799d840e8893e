#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::replication
{

/// Encodes and decodes the frames of a log file: magic number, length, checksum and payload, padded to eight bytes. Each frame is one write and sync, so an
/// unreadable frame is the torn end of the file unless a readable one follows it.
class LogFrame
{
public:
    /// A frame read from a file.
    struct DecodedFrame {
        std::string_view payload;
        std::size_t next = 0; ///< Offset of the first byte after the frame.
    };

    static std::string encode(std::string_view payload);

    /// Returns nothing when no complete frame with a valid checksum starts at `offset`.
    static std::optional<DecodedFrame> read(std::string_view file, std::size_t offset);

    /// Whether any readable frame starts after `offset`.
    static bool hasFrameAfter(std::string_view file, std::size_t offset);
};

} // namespace cranberryreel::replication
