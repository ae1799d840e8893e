#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cranberryreel::testsupport
{

/// A bare TCP connection to loopback, for sending what no HTTP client would. Owned by a test.
class RawConnection
{
public:
    explicit RawConnection(std::uint16_t port);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /// False once the peer has closed.
    bool send(const std::string &bytes) const;

    /// At least one byte and at most `most`; empty when the peer closed or the limit passed.
    std::string receiveSome(std::size_t most, std::chrono::milliseconds limit) const;

    /// Everything until the peer closes; what came so far when the limit passes first.
    std::string receiveAll(std::chrono::milliseconds limit) const;

private:
    int descriptor;
};

} // namespace cranberryreel::testsupport
