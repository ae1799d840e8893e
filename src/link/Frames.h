#pragma once

#include "link/LinkHub.h"
#include "link/generated/link_generated.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryreel::link
{

/// One-byte frames that keep a link alive while nothing else is said on it.
enum class Heartbeat : std::uint8_t {
    Ping = 1,
    Echo = 2,
};

/// Room that a frame needs beside its payload and traceparent.
constexpr std::size_t FrameOverheadBytes = 256;

/// Each returns a whole frame for the wire, header included.
std::string heartbeatFrame(Heartbeat heartbeat);
std::string messageFrame(Channel channel, const std::string &payload);
std::string callFrame(Channel channel, std::uint64_t id, const std::string &traceparent, const std::string &payload);
std::string answerFrame(std::uint64_t id, base::ResultCode code, const std::string &payload);
std::string bodyFrame(const wire::BodyUnion &body);

/// The verified frame, pointing into `bytes`. Throws base::Error(LinkFrameInvalid) for anything that is not a frame with a body.
const wire::Frame &parseFrame(const std::string &bytes);

/// The bytes of a vector field; empty when the field is missing.
std::string bytesOf(const flatbuffers::Vector<std::uint8_t> *field);
std::string textOf(const flatbuffers::String *field);

} // namespace cranberryreel::link
