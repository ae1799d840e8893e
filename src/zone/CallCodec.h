#pragma once

#include "zone/Beacon.h"
#include "zone/ZoneCall.h"
#include "zone/ZoneReply.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::zone
{

/// Maximum size in bytes of the piece of an answer in one reply.
constexpr std::size_t MaxPieceBytes = std::size_t{1024} * 1024;

std::string encodeCall(const ZoneCall &call);
/// Returns nothing if the bytes are invalid or the call has no body.
std::optional<ZoneCall> decodeCall(std::string_view bytes);

/// Encodes a reply. A longer answer in the status is truncated to its first MaxPieceBytes; the caller reads the rest with AnswerCall.
std::string encodeReply(ZoneReply reply);

/// Returns nothing if the bytes are invalid.
std::optional<ZoneReply> decodeReply(std::string_view bytes);
std::string encodeBeacon(const Beacon &beacon);
/// Returns nothing if the bytes are invalid.
std::optional<Beacon> decodeBeacon(std::string_view bytes);

} // namespace cranberryreel::zone
