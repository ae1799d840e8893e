#include "link/Socket.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cranberryreel::link
{

namespace
{

constexpr int ListenBacklogConnections = 128;

void setOption(int fd, int level, int option)
{
    const int on = 1;
    setsockopt(fd, level, option, &on, sizeof(on));
}

Socket openTcp()
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.valid()) {
        throw base::Error(base::ResultCode::Internal, fmt::format("Cannot open a socket: {}.", std::strerror(errno)));
    }
    return socket;
}

} // namespace

Socket::Socket(int descriptor)
    : fd(descriptor)
{
}

Socket::Socket(Socket &&other) noexcept
    : fd(std::exchange(other.fd, -1))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        this->close();
        this->fd = std::exchange(other.fd, -1);
    }
    return *this;
}

Socket::~Socket()
{
    this->close();
}

Socket Socket::listen(const Endpoint &endpoint)
{
    const sockaddr_in address = endpoint.socketAddress();
    Socket socket = openTcp();
    setOption(socket.fd, SOL_SOCKET, SO_REUSEADDR);
    if (::bind(socket.fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(socket.fd, ListenBacklogConnections) != 0) {
        throw base::Error(base::ResultCode::PortInUse, fmt::format("Cannot listen on {}:{}: {}.", endpoint.ip, endpoint.port, std::strerror(errno)));
    }
    return socket;
}

Socket Socket::connect(const Endpoint &endpoint)
{
    const sockaddr_in address = endpoint.socketAddress();
    Socket socket = openTcp();
    setOption(socket.fd, IPPROTO_TCP, TCP_NODELAY);
    if (::connect(socket.fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 && errno != EINPROGRESS) {
        throw base::Error(base::ResultCode::LinkDown, fmt::format("Cannot connect to {}:{}: {}.", endpoint.ip, endpoint.port, std::strerror(errno)));
    }
    return socket;
}

Socket Socket::accept() const
{
    Socket accepted(::accept4(this->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted.valid()) {
        setOption(accepted.fd, IPPROTO_TCP, TCP_NODELAY);
    }
    return accepted;
}

bool Socket::valid() const
{
    return this->fd >= 0;
}

int Socket::descriptor() const
{
    return this->fd;
}

std::uint16_t Socket::localPort() const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(this->fd, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

int Socket::takeError() const
{
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(this->fd, SOL_SOCKET, SO_ERROR, &error, &length);
    return error;
}

void Socket::close()
{
    if (this->fd >= 0) {
        ::close(this->fd);
        this->fd = -1;
    }
}

} // namespace cranberryreel::link
