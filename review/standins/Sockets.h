#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cranberryreel::review
{

/// Connects to IP:PORT; -1 on failure. The limit holds for the connect and for each read and write.
int connectTo(const std::string &address, std::chrono::milliseconds limit);

/// Listens on IP:PORT. Throws std::runtime_error if the address is taken.
int listenOn(const std::string &address);

/// A TCP port of the loopback interface that is free now.
std::uint16_t freePort();

} // namespace cranberryreel::review
