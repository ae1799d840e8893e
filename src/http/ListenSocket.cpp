#include "http/ListenSocket.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace cranberryreel::http
{

namespace
{

constexpr int ListenBacklog = 4096;

[[noreturn]] void throwPortInUse(int descriptor, const std::string &address, std::uint16_t port)
{
    const std::string reason = std::generic_category().message(errno);
    if (descriptor >= 0) {
        ::close(descriptor);
    }
    throw base::Error(base::ResultCode::PortInUse, fmt::format("Cannot listen on {}:{}: {}. Free the port or choose another.", address, port, reason));
}

} // namespace

ListenSocket openListenSocket(const std::string &address, std::uint16_t port)
{
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(port);
    errno = EINVAL;
    if (::inet_pton(AF_INET, address.c_str(), &socketAddress.sin_addr) != 1) {
        throwPortInUse(-1, address, port);
    }
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    socklen_t length = sizeof(socketAddress);
    auto *const genericAddress = reinterpret_cast<sockaddr *>(&socketAddress);
    if (descriptor < 0 || ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 || ::bind(descriptor, genericAddress, length) != 0
        || ::listen(descriptor, ListenBacklog) != 0 || ::getsockname(descriptor, genericAddress, &length) != 0) {
        throwPortInUse(descriptor, address, port);
    }
    return {descriptor, ntohs(socketAddress.sin_port)};
}

} // namespace cranberryreel::http
