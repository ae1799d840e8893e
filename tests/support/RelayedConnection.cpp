#include "support/RelayedConnection.h"

#include "cranberryreel/base/Error.h"

#include <array>
#include <cerrno>

#include <sys/socket.h>

namespace cranberryreel::support
{

namespace
{

constexpr std::size_t MaxFlowBytes = 1U << 20U;

bool isTemporary(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOTCONN || error == EINPROGRESS;
}

bool addFlowDescriptors(const link::Socket &from, const link::Socket &into, const RelayedFlow &flow, std::vector<pollfd> &descriptors)
{
    if (!flow.sourceEnded && flow.chunkBytes < MaxFlowBytes) {
        descriptors.push_back({from.descriptor(), POLLIN, 0});
    }
    if (flow.chunks.empty()) {
        return true;
    }
    if (flow.chunks.front().due > std::chrono::steady_clock::now()) {
        return false;
    }
    descriptors.push_back({into.descriptor(), POLLOUT, 0});
    return true;
}

} // namespace

RelayedConnection::RelayedConnection(link::Socket dialerSocket, link::Endpoint targetEndpoint)
    : dialer(std::move(dialerSocket))
    , endpoint(std::move(targetEndpoint))
{
}

bool RelayedConnection::transfer(const RelayFaults &faults)
{
    if (this->blackholed) {
        return true;
    }
    if (!this->target.valid()) {
        return !faults.isIntact() || this->connectTarget();
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

bool RelayedConnection::addPollDescriptors(const RelayFaults &faults, std::vector<pollfd> &descriptors) const
{
    if (this->blackholed || !this->target.valid()) {
        return true;
    }
    bool noDelayedChunk = true;
    if (!faults.holdForward) {
        noDelayedChunk = addFlowDescriptors(this->dialer, this->target, this->forward, descriptors) && noDelayedChunk;
    }
    if (!faults.holdBackward) {
        noDelayedChunk = addFlowDescriptors(this->target, this->dialer, this->backward, descriptors) && noDelayedChunk;
    }
    return noDelayedChunk;
}

void RelayedConnection::blackhole()
{
    this->blackholed = true;
}

bool RelayedConnection::isBlackholed() const
{
    return this->blackholed;
}

bool RelayedConnection::connectTarget()
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
    while (!flow.sourceEnded && flow.chunkBytes < MaxFlowBytes) {
        const ssize_t count = ::recv(from.descriptor(), bytes.data(), bytes.size(), 0);
        if (count > 0) {
            flow.chunks.push_back({std::chrono::steady_clock::now() + delay, {bytes.data(), static_cast<std::size_t>(count)}});
            flow.chunkBytes += static_cast<std::size_t>(count);
        } else if (count < 0 && isTemporary(errno)) {
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
            flow.sinkEnded = !isTemporary(errno);
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
