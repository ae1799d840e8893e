#pragma once

#include <cstdint>
#include <string>

namespace cranberryreel::http
{

/// A bound and listening TCP socket and its port.
struct ListenSocket {
    int descriptor = -1; ///< Owned by the caller of openListenSocket().
    std::uint16_t port = 0;
};

/// Opens a non-blocking socket on an IPv4 address; port 0 selects a free port. Throws base::Error(PortInUse) if the address cannot be bound.
ListenSocket openListenSocket(const std::string &address, std::uint16_t port);

} // namespace cranberryreel::http
