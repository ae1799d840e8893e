#pragma once

#include "link/LinkHub.h"
#include "link/generated/link_generated.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryreel::link
{

/// One-byte frames that keep an idle link alive.
enum class Heartbeat : std::uint8_t {
    Ping = 1,
    Echo = 2,
};

/// Upper bound of a frame's bytes beside its payload and traceparent.
constexpr std::size_t FrameOverheadBytes = 256;

/// Each of these functions returns a complete frame for the wire, header included.
std::string heartbeatFrame(Heartbeat heartbeat);
std::string messageFrame(Channel channel, const std::string &payload);
std::string callFrame(Channel channel, std::uint64_t id, const std::string &traceparent, const std::string &payload);
std::string answerFrame(std::uint64_t id, base::ResultCode code, const std::string &payload);
std::string bodyFrame(const wire::BodyUnion &body);

/// Verifies and returns the frame, which points into `bytes`. Throws base::Error(LinkFrameInvalid) when the bytes are not a frame with a body.
const wire::Frame &parseFrame(const std::string &bytes);

/// Returns the bytes of a field; empty when the field is missing.
std::string readBytes(const flatbuffers::Vector<std::uint8_t> *field);
std::string readString(const flatbuffers::String *field);

} // namespace cranberryreel::link
