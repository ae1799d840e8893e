#include "support/FreePort.h"

#include "link/Socket.h"

#include "cranberryreel/base/Error.h"

#include <absl/synchronization/mutex.h>

#include <unistd.h>

namespace cranberryreel::support
{

namespace
{

// The ports lie below the range for outgoing connections of the system, so that no such connection takes one.
constexpr std::uint16_t LowestPort = 12000;
constexpr std::uint16_t PortCount = 20000;

bool isFree(std::uint16_t port)
{
    try {
        link::Socket::listen({"127.0.0.1", port});
        return true;
    } catch (const base::Error &) {
        return false;
    }
}

} // namespace

std::uint16_t freePort()
{
    static absl::Mutex mutex(absl::kConstInit);
    static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * 97;
    absl::MutexLock lock(&mutex);
    std::uint16_t port = 0;
    do {
        port = static_cast<std::uint16_t>(LowestPort + next++ % PortCount);
    } while (!isFree(port));
    return port;
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace cranberryreel::support
