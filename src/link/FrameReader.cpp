#include "link/FrameReader.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <cstdint>

namespace cranberryreel::link
{

namespace
{

std::size_t readLength(const char *bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < FrameReader::HeaderBytes; ++i) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    return length;
}

} // namespace

FrameReader::FrameReader(std::size_t limitBytes)
    : limit(limitBytes)
{
}

void FrameReader::setLimit(std::size_t limitBytes)
{
    this->limit = limitBytes;
}

void FrameReader::append(std::string_view bytes)
{
    if (this->consumed == this->buffer.size()) {
        this->buffer.clear();
        this->consumed = 0;
    } else if (this->consumed > this->buffer.size() / 2) {
        this->buffer.erase(0, this->consumed);
        this->consumed = 0;
    }
    this->buffer.append(bytes);
}

std::optional<std::string> FrameReader::next()
{
    const std::size_t available = this->buffer.size() - this->consumed;
    if (available < HeaderBytes) {
        return std::nullopt;
    }
    const std::size_t length = readLength(this->buffer.data() + this->consumed);
    if (length == 0 || length > this->limit) {
        throw base::Error(base::ResultCode::LinkFrameInvalid, fmt::format("A frame has a length of {} bytes; 1 to {} are allowed.", length, this->limit));
    }
    if (available < HeaderBytes + length) {
        return std::nullopt;
    }
    std::string body = this->buffer.substr(this->consumed + HeaderBytes, length);
    this->consumed += HeaderBytes + length;
    return body;
}

std::size_t FrameReader::bufferedBytes() const
{
    return this->buffer.size() - this->consumed;
}

std::string framed(std::string_view body)
{
    std::string bytes;
    bytes.reserve(FrameReader::HeaderBytes + body.size());
    for (std::size_t i = 0; i < FrameReader::HeaderBytes; ++i) {
        bytes.push_back(static_cast<char>((body.size() >> (8 * i)) & 0xffU));
    }
    bytes.append(body);
    return bytes;
}

} // namespace cranberryreel::link
