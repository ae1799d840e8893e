#include "support/RelayedConnection.h"

#include "cranberryreel/base/Error.h"

#include <array>
#include <cerrno>

#include <sys/socket.h>

namespace cranberryreel::support
{

namespace
{

constexpr std::size_t FlowBytes = 1U << 20U;

bool mayRetry(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOTCONN || error == EINPROGRESS;
}

bool addFlowWaits(const link::Socket &from, const link::Socket &into, const RelayedFlow &flow, std::vector<pollfd> &waits)
{
    if (!flow.sourceEnded && flow.chunkBytes < FlowBytes) {
        waits.push_back({from.descriptor(), POLLIN, 0});
    }
    if (flow.chunks.empty()) {
        return true;
    }
    if (flow.chunks.front().due > std::chrono::steady_clock::now()) {
        return false;
    }
    waits.push_back({into.descriptor(), POLLOUT, 0});
    return true;
}

} // namespace

RelayedConnection::RelayedConnection(link::Socket dialerSocket, link::Endpoint targetEndpoint)
    : dialer(std::move(dialerSocket))
    , endpoint(std::move(targetEndpoint))
{
}

bool RelayedConnection::move(const RelayFaults &faults)
{
    if (this->isForgotten) {
        return true;
    }
    if (!this->target.valid()) {
        return !faults.whole() || this->reachTarget();
    }
    if (!faults.holdForward) {
        receive(this->dialer, this->forward, faults.delay);
        deliver(this->target, this->forward);
    }
    if (!faults.holdBackward) {
        receive(this->target, this->backward, faults.delay);
        deliver(this->dialer, this->backward);
    }
    return !this->forward.sinkEnded && !this->backward.sinkEnded;
}

bool RelayedConnection::addWaits(const RelayFaults &faults, std::vector<pollfd> &waits) const
{
    if (this->isForgotten || !this->target.valid()) {
        return true;
    }
    bool timeless = true;
    if (!faults.holdForward) {
        timeless = addFlowWaits(this->dialer, this->target, this->forward, waits) && timeless;
    }
    if (!faults.holdBackward) {
        timeless = addFlowWaits(this->target, this->dialer, this->backward, waits) && timeless;
    }
    return timeless;
}

void RelayedConnection::forget()
{
    this->isForgotten = true;
}

bool RelayedConnection::forgotten() const
{
    return this->isForgotten;
}

bool RelayedConnection::reachTarget()
{
    try {
        this->target = link::Socket::connect(this->endpoint);
        return true;
    } catch (const base::Error &) {
        return false;
    }
}

void RelayedConnection::receive(const link::Socket &from, RelayedFlow &flow, std::chrono::milliseconds delay)
{
    std::array<char, 64U << 10U> bytes;
    while (!flow.sourceEnded && flow.chunkBytes < FlowBytes) {
        const ssize_t count = ::recv(from.descriptor(), bytes.data(), bytes.size(), 0);
        if (count > 0) {
            flow.chunks.push_back({std::chrono::steady_clock::now() + delay, {bytes.data(), static_cast<std::size_t>(count)}});
            flow.chunkBytes += static_cast<std::size_t>(count);
        } else if (count < 0 && mayRetry(errno)) {
            return;
        } else {
            flow.sourceEnded = true;
        }
    }
}

void RelayedConnection::deliver(const link::Socket &into, RelayedFlow &flow)
{
    while (!flow.chunks.empty() && flow.chunks.front().due <= std::chrono::steady_clock::now()) {
        std::string &bytes = flow.chunks.front().bytes;
        const ssize_t count = ::send(into.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0) {
            flow.sinkEnded = !mayRetry(errno);
            return;
        }
        flow.chunkBytes -= static_cast<std::size_t>(count);
        bytes.erase(0, static_cast<std::size_t>(count));
        if (bytes.empty()) {
            flow.chunks.pop_front();
        }
    }
    if (flow.sourceEnded && flow.chunks.empty()) {
        flow.sinkEnded = true;
    }
}

} // namespace cranberryreel::support
