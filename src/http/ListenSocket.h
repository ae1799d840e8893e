#pragma once

#include <cstdint>
#include <string>

namespace cranberryreel::http
{

/// A bound and listening TCP socket, and the port it got.
struct ListenSocket {
    int descriptor = -1; ///< The taker closes it.
    std::uint16_t port = 0;
};

/// Throws base::Error(PortInUse) when the address cannot be bound.
ListenSocket openListenSocket(const std::string &address, std::uint16_t port);

} // namespace cranberryreel::http
