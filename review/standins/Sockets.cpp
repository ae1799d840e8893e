#include "Sockets.h"

#include <cstdlib>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace cranberryreel::review
{

namespace
{

constexpr int MillisecondsPerSecond = 1000;
constexpr int Backlog = 128;

sockaddr_in socketAddress(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

} // namespace

int connectTo(const std::string &address, std::chrono::milliseconds limit)
{
    const sockaddr_in target = socketAddress(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval timeout{};
    timeout.tv_sec = limit.count() / MillisecondsPerSecond;
    timeout.tv_usec = (limit.count() % MillisecondsPerSecond) * MillisecondsPerSecond;
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

int listenOn(const std::string &address)
{
    const sockaddr_in own = socketAddress(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&own), sizeof(own)) != 0 || ::listen(socket, Backlog) != 0) {
        ::close(socket);
        throw std::runtime_error("cannot listen on " + address);
    }
    return socket;
}

std::uint16_t freePort()
{
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(own);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool bound = ::bind(socket, reinterpret_cast<const sockaddr *>(&own), size) == 0;
    const bool known = bound && ::getsockname(socket, reinterpret_cast<sockaddr *>(&own), &size) == 0;
    ::close(socket);
    if (!known) {
        throw std::runtime_error("no free port");
    }
    return ntohs(own.sin_port);
}

} // namespace cranberryreel::review
