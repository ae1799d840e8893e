#pragma once

#include "link/Endpoint.h"

namespace cranberryreel::link
{

/// A non-blocking TCP socket; closes its descriptor on destruction. Move-only; owned by a connection or a listener.
class Socket
{
public:
    explicit Socket(int descriptor);
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket();

    /// Throws base::Error(PortInUse).
    static Socket listen(const Endpoint &endpoint);

    /// Starts a non-blocking connect; takeError() returns the outcome once the socket is writable. Throws base::Error(LinkDown) when connecting fails at once.
    static Socket connect(const Endpoint &endpoint);

    /// Accepts one pending connection. Returns an invalid socket when there is none.
    Socket accept() const;

    bool valid() const;
    int descriptor() const;
    std::uint16_t localPort() const;

    /// Returns and clears the pending error of the socket (an errno value); 0 for none.
    int takeError() const;

private:
    void close();

    int fd;
};

} // namespace cranberryreel::link
