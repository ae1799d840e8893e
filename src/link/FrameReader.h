#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::link
{

/// Cuts a stream of bytes into length-framed pieces. Keeps no more than one frame and one read of bytes, whatever lengths the stream claims.
/// Owned by a connection.
class FrameReader
{
public:
    static constexpr std::size_t HeaderBytes = 4;

    explicit FrameReader(std::size_t limitBytes);

    void setLimit(std::size_t limitBytes);
    void append(std::string_view bytes);

    /// The next whole frame without its header. Throws base::Error(LinkFrameInvalid) for a length of zero or above the limit.
    std::optional<std::string> next();

    std::size_t bufferedBytes() const;

private:
    std::size_t limit;
    std::string buffer;
    std::size_t consumed = 0;
};

/// The frame as it goes on the wire: header and body.
std::string framed(std::string_view body);

} // namespace cranberryreel::link
