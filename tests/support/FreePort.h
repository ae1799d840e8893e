#pragma once

#include <cstdint>
#include <string>

namespace cranberryreel::support
{

/// Returns a TCP port of the loopback interface that was free at the time of the call.
std::uint16_t freePort();

/// Returns "127.0.0.1:PORT".
std::string loopback(std::uint16_t port);

} // namespace cranberryreel::support
