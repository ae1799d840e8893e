#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::link
{

/// Splits a byte stream into length-prefixed frames. Buffers at most one frame and one read, whatever lengths the stream declares. Owned by a connection;
/// I/O thread only.
class FrameReader
{
public:
    static constexpr std::size_t HeaderBytes = 4;

    explicit FrameReader(std::size_t limitBytes);

    void setLimit(std::size_t limitBytes);
    void append(std::string_view bytes);

    /// Returns the next complete frame without its header. Throws base::Error(LinkFrameInvalid) for a length of zero or above the limit.
    std::optional<std::string> next();

    std::size_t bufferedBytes() const;

private:
    std::size_t limit;
    std::string buffer;
    std::size_t consumed = 0;
};

/// Returns the frame as sent on the wire: header and body.
std::string framed(std::string_view body);

} // namespace cranberryreel::link
