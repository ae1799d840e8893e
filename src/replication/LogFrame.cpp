#include "replication/LogFrame.h"

#include <xxhash.h>

#include <cstring>

namespace cranberryreel::replication
{

namespace
{

constexpr std::uint32_t FrameMagic = 0x474f4c43;
constexpr std::size_t AlignmentBytes = 8;

struct Header {
    std::uint32_t magic = FrameMagic;
    std::uint32_t length = 0;
    std::uint64_t checksum = 0;
};

std::size_t paddedSize(std::size_t bytes)
{
    return (bytes + AlignmentBytes - 1) / AlignmentBytes * AlignmentBytes;
}

} // namespace

std::string LogFrame::encode(std::string_view payload)
{
    Header header;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.checksum = XXH3_64bits(payload.data(), payload.size());
    std::string frame(sizeof(Header) + paddedSize(payload.size()), '\0');
    std::memcpy(frame.data(), &header, sizeof(Header));
    std::memcpy(frame.data() + sizeof(Header), payload.data(), payload.size());
    return frame;
}

std::optional<LogFrame::DecodedFrame> LogFrame::read(std::string_view file, std::size_t offset)
{
    if (offset > file.size() || file.size() - offset < sizeof(Header)) {
        return std::nullopt;
    }
    Header header;
    std::memcpy(&header, file.data() + offset, sizeof(Header));
    const std::size_t availableBytes = file.size() - offset - sizeof(Header);
    if (header.magic != FrameMagic || paddedSize(header.length) > availableBytes) {
        return std::nullopt;
    }
    const std::string_view payload = file.substr(offset + sizeof(Header), header.length);
    if (XXH3_64bits(payload.data(), payload.size()) != header.checksum) {
        return std::nullopt;
    }
    return DecodedFrame{payload, offset + sizeof(Header) + paddedSize(header.length)};
}

bool LogFrame::hasFrameAfter(std::string_view file, std::size_t offset)
{
    for (std::size_t position = paddedSize(offset + 1); position + sizeof(Header) <= file.size(); position += AlignmentBytes) {
        if (LogFrame::read(file, position)) {
            return true;
        }
    }
    return false;
}

} // namespace cranberryreel::replication
