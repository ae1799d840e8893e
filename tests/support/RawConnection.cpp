#include "support/RawConnection.h"

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/base/Error.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cranberryreel::testsupport
{

namespace
{

constexpr std::size_t ChunkBytes = 65536;

} // namespace

RawConnection::RawConnection(std::uint16_t port)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(port);
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(this->descriptor, reinterpret_cast<sockaddr *>(&where), sizeof(where)) != 0) {
        throw base::Error(base::ResultCode::EntryUnreachable, "The connection failed.");
    }
}

RawConnection::~RawConnection()
{
    ::close(this->descriptor);
}

bool RawConnection::send(const std::string &bytes) const
{
    return ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

std::string RawConnection::receiveSome(std::size_t maxBytes, std::chrono::milliseconds limit) const
{
    pollfd watched{this->descriptor, POLLIN, 0};
    if (::poll(&watched, 1, static_cast<int>(limit.count())) <= 0) {
        return "";
    }
    std::string bytes(maxBytes, '\0');
    const ssize_t count = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
}

std::string RawConnection::receiveAll(std::chrono::milliseconds limit) const
{
    const base::SteadyTime until = base::steadyNow() + limit;
    std::string all;
    while (base::steadyNow() < until) {
        const std::string more = this->receiveSome(ChunkBytes, std::chrono::ceil<std::chrono::milliseconds>(until - base::steadyNow()));
        if (more.empty()) {
            break;
        }
        all += more;
    }
    return all;
}

} // namespace cranberryreel::testsupport
