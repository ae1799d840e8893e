#include "DelayProxy.h"

#include "HttpMessage.h"
#include "Sockets.h"

#include <array>
#include <chrono>
#include <utility>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cranberryreel::review
{

namespace
{

constexpr int AcceptWaitMs = 20;
constexpr std::chrono::milliseconds ReplyLimit{3000};
constexpr std::size_t ReadBytes = 16384;

} // namespace

DelayProxy::DelayProxy(std::string ownAddress, std::string targetAddress)
    : listenAddress(std::move(ownAddress))
    , target(std::move(targetAddress))
    , listening(listenOn(this->listenAddress))
    , acceptor([this] { this->acceptAll(); })
{
}

DelayProxy::~DelayProxy()
{
    this->running = false;
    this->heal();
    this->acceptor.join();
    for (std::thread &worker : this->workers) {
        worker.join();
    }
    ::close(this->listening);
}

const std::string &DelayProxy::address() const
{
    return this->listenAddress;
}

void DelayProxy::cut()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->isCut = true;
}

void DelayProxy::heal()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->isCut = false;
    this->changed.notify_all();
}

void DelayProxy::acceptAll()
{
    while (this->running) {
        pollfd waiting{this->listening, POLLIN, 0};
        if (::poll(&waiting, 1, AcceptWaitMs) > 0) {
            const int connection = ::accept4(this->listening, nullptr, nullptr, SOCK_CLOEXEC);
            this->workers.emplace_back([this, connection] { this->forward(connection); });
        }
    }
}

/// One request for each connection, as HttpClient sends them.
void DelayProxy::forward(int connection)
{
    std::array<char, ReadBytes> bytes;
    const ssize_t count = ::recv(connection, bytes.data(), bytes.size(), 0);
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait(lock, [this] { return !this->isCut; });
    }
    const int onward = count > 0 ? connectTo(this->target, ReplyLimit) : -1;
    if (onward >= 0) {
        writeAll(onward, std::string(bytes.data(), static_cast<std::size_t>(count)));
        for (ssize_t got = 0; (got = ::recv(onward, bytes.data(), bytes.size(), 0)) > 0;) {
            writeAll(connection, std::string(bytes.data(), static_cast<std::size_t>(got)));
        }
        ::close(onward);
    }
    ::close(connection);
}

} // namespace cranberryreel::review
