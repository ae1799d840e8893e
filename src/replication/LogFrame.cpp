#include "replication/LogFrame.h"

#include <xxhash.h>

#include <cstring>

namespace cranberryreel::replication
{

namespace
{

constexpr std::uint32_t Mark = 0x474f4c43;
constexpr std::size_t AlignmentBytes = 8;

struct Header {
    std::uint32_t mark = Mark;
    std::uint32_t length = 0;
    std::uint64_t checksum = 0;
};

std::size_t padded(std::size_t bytes)
{
    return (bytes + AlignmentBytes - 1) / AlignmentBytes * AlignmentBytes;
}

} // namespace

std::string LogFrame::encode(std::string_view payload)
{
    Header header;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.checksum = XXH3_64bits(payload.data(), payload.size());
    std::string frame(sizeof(Header) + padded(payload.size()), '\0');
    std::memcpy(frame.data(), &header, sizeof(Header));
    std::memcpy(frame.data() + sizeof(Header), payload.data(), payload.size());
    return frame;
}

std::optional<LogFrame::Found> LogFrame::read(std::string_view file, std::size_t offset)
{
    if (offset > file.size() || file.size() - offset < sizeof(Header)) {
        return std::nullopt;
    }
    Header header;
    std::memcpy(&header, file.data() + offset, sizeof(Header));
    const std::size_t room = file.size() - offset - sizeof(Header);
    if (header.mark != Mark || padded(header.length) > room) {
        return std::nullopt;
    }
    const std::string_view payload = file.substr(offset + sizeof(Header), header.length);
    if (XXH3_64bits(payload.data(), payload.size()) != header.checksum) {
        return std::nullopt;
    }
    return Found{payload, offset + sizeof(Header) + padded(header.length)};
}

bool LogFrame::anyAfter(std::string_view file, std::size_t offset)
{
    for (std::size_t place = padded(offset + 1); place + sizeof(Header) <= file.size(); place += AlignmentBytes) {
        if (LogFrame::read(file, place)) {
            return true;
        }
    }
    return false;
}

} // namespace cranberryreel::replication
