#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cranberryreel::testsupport
{

/// A plain TCP connection to the loopback interface, for bytes that no HTTP client sends. Owned by a test.
class RawConnection
{
public:
    explicit RawConnection(std::uint16_t port);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /// Returns false once the peer has closed the connection.
    bool send(const std::string &bytes) const;

    /// Returns one to `maxBytes` bytes; empty when the peer closed the connection or the limit passed.
    std::string receiveSome(std::size_t maxBytes, std::chrono::milliseconds limit) const;

    /// Returns all bytes until the peer closes the connection or the limit passes.
    std::string receiveAll(std::chrono::milliseconds limit) const;

private:
    int descriptor;
};

} // namespace cranberryreel::testsupport
