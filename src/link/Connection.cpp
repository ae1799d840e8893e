#include "link/Connection.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <array>
#include <cerrno>
#include <cstring>

#include <sys/epoll.h>
#include <sys/socket.h>

namespace cranberryreel::link
{

namespace
{

constexpr std::size_t ReadBytes = 64U << 10U;
// Reads per event, and bytes sent per flush, are limited so that one busy peer does not delay the others.
constexpr int ReadsPerRound = 8;
constexpr std::size_t FlushBytesPerRound = 1U << 20U;

} // namespace

Connection::Connection(EventLoop &eventLoop, Socket ownSocket, std::size_t frameLimitBytes, bool isDialed)
    : loop(eventLoop)
    , socket(std::move(ownSocket))
    , reader(frameLimitBytes)
    , isDialer(isDialed)
    , connecting(isDialed)
    , opened(base::steadyNow())
    , received(this->opened)
    , sent(this->opened)
{
}

Connection::~Connection()
{
    this->close();
}

void Connection::open(ConnectionOwner &newOwner)
{
    this->owner = &newOwner;
    this->watchedEvents = this->connecting ? EPOLLOUT : EPOLLIN;
    this->token = this->loop.watch(this->socket.descriptor(), this->watchedEvents, *this);
}

void Connection::setOwner(ConnectionOwner &newOwner)
{
    this->owner = &newOwner;
}

void Connection::setFrameLimit(std::size_t limitBytes)
{
    this->reader.setLimit(limitBytes);
}

void Connection::write(std::string_view bytes)
{
    if (this->isClosed) {
        return;
    }
    this->output.append(bytes);
}

std::size_t Connection::unsentBytes() const
{
    return this->output.size() - this->outputSent;
}

void Connection::close()
{
    if (this->isClosed) {
        return;
    }
    this->isClosed = true;
    if (this->token != 0) {
        this->loop.unwatch(this->token, this->socket.descriptor());
    }
    this->socket = Socket(-1);
}

bool Connection::closed() const
{
    return this->isClosed;
}

bool Connection::dialed() const
{
    return this->isDialer;
}

base::SteadyTime Connection::openedAt() const
{
    return this->opened;
}

base::SteadyTime Connection::lastReceived() const
{
    return this->received;
}

base::SteadyTime Connection::lastSent() const
{
    return this->sent;
}

std::uint64_t Connection::bytesIn() const
{
    return this->totalIn;
}

std::uint64_t Connection::bytesOut() const
{
    return this->totalOut;
}

void Connection::ready(std::uint32_t events)
{
    const std::shared_ptr<Connection> self = this->shared_from_this();
    if (this->connecting) {
        this->finishConnect();
        return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        this->readAll();
    }
    if (!this->isClosed && (events & EPOLLOUT) != 0) {
        this->flush();
    }
}

void Connection::finishConnect()
{
    if (const int error = this->socket.takeError(); error != 0) {
        this->fail(std::strerror(error));
        return;
    }
    this->connecting = false;
    this->watchFor(EPOLLIN);
    this->owner->connected(*this);
}

void Connection::readAll()
{
    std::array<char, ReadBytes> bytes;
    for (int round = 0; round < ReadsPerRound && !this->isClosed; ++round) {
        const ssize_t count = ::recv(this->socket.descriptor(), bytes.data(), bytes.size(), 0);
        if (count == 0) {
            this->fail("the peer closed the connection");
            return;
        }
        if (count < 0) {
            if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
                this->fail(std::strerror(errno));
            }
            return;
        }
        this->received = base::steadyNow();
        this->totalIn += static_cast<std::uint64_t>(count);
        this->reader.append({bytes.data(), static_cast<std::size_t>(count)});
        this->deliverFrames();
        if (static_cast<std::size_t>(count) < bytes.size()) {
            return;
        }
    }
}

void Connection::deliverFrames()
{
    try {
        while (!this->isClosed) {
            std::optional<std::string> body = this->reader.next();
            if (!body) {
                return;
            }
            this->owner->frameArrived(*this, std::move(*body));
        }
    } catch (const base::Error &error) {
        this->fail(error.what());
    }
}

void Connection::flush()
{
    if (this->isClosed || this->connecting) {
        return;
    }
    for (std::size_t flushed = 0; flushed < FlushBytesPerRound;) {
        const std::optional<std::size_t> count = this->sendOutput();
        if (!count) {
            return;
        }
        flushed += *count;
        if (this->unsentBytes() == 0) {
            this->output.clear();
            this->outputSent = 0;
            this->owner->outputDrained(*this);
        }
        if (this->unsentBytes() == 0) {
            this->watchFor(EPOLLIN);
            return;
        }
    }
    this->watchFor(EPOLLIN | EPOLLOUT);
}

std::optional<std::size_t> Connection::sendOutput()
{
    if (this->unsentBytes() == 0) {
        return 0;
    }
    const ssize_t count = ::send(this->socket.descriptor(), this->output.data() + this->outputSent, this->unsentBytes(), MSG_NOSIGNAL);
    if (count < 0) {
        if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
            this->watchFor(EPOLLIN | EPOLLOUT);
        } else {
            this->fail(std::strerror(errno));
        }
        return std::nullopt;
    }
    this->outputSent += static_cast<std::size_t>(count);
    this->totalOut += static_cast<std::uint64_t>(count);
    this->sent = base::steadyNow();
    return static_cast<std::size_t>(count);
}

void Connection::watchFor(std::uint32_t events)
{
    if (this->watchedEvents != events) {
        this->watchedEvents = events;
        this->loop.change(this->token, this->socket.descriptor(), events);
    }
}

void Connection::fail(const std::string &reason)
{
    if (this->isClosed) {
        return;
    }
    this->close();
    this->owner->connectionLost(*this, reason);
}

} // namespace cranberryreel::link
