#pragma once

#include <cstdint>
#include <string>

namespace cranberryreel::support
{

/// A TCP port of the loopback that was free a moment ago.
std::uint16_t freePort();

/// "127.0.0.1:PORT".
std::string loopback(std::uint16_t port);

} // namespace cranberryreel::support
