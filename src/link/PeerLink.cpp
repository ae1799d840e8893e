#include "link/PeerLink.h"

#include "link/LinkLog.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <algorithm>

namespace cranberryreel::link
{

namespace
{

/// Bytes passed to the connection at a time. Frames still queued in the outbox can be reported as unsent when the link is lost.
constexpr std::size_t OutputBytes = 64U << 10U;

} // namespace

PeerLink::PeerLink(std::string peerVm, Endpoint peerAddress, const LinkTimings &linkTimings, const LinkLimits &linkLimits, DialSchedule dialing)
    : peer(std::move(peerVm))
    , endpoint(std::move(peerAddress))
    , timings(linkTimings)
    , limits(linkLimits)
    , schedule(dialing)
    , box(linkLimits)
{
}

void PeerLink::setReceivers(const Receivers &hubReceivers, CallReceiver &hubCallReceiver, LinkCounters &hubCounters)
{
    this->receivers = &hubReceivers;
    this->callReceiver = &hubCallReceiver;
    this->counters = &hubCounters;
}

const std::string &PeerLink::vm() const
{
    return this->peer;
}

void PeerLink::setAddress(const Endpoint &peerAddress)
{
    this->endpoint = peerAddress;
}

const Endpoint &PeerLink::address() const
{
    return this->endpoint;
}

Outbox &PeerLink::outbox()
{
    return this->box;
}

DialSchedule &PeerLink::dialSchedule()
{
    return this->schedule;
}

PeerStatus PeerLink::status() const
{
    return {this->peer, this->box.isOpen(), std::chrono::microseconds(this->roundTripMicroseconds.load()), this->bytesOut.load(), this->bytesIn.load()};
}

bool PeerLink::attached() const
{
    return this->connection != nullptr;
}

bool PeerLink::openedBeforeAttach(const Connection &candidate) const
{
    return this->attached() && candidate.openedAt() < this->attachedAt;
}

void PeerLink::attach(std::shared_ptr<Connection> newConnection, std::string newKey, bool announce)
{
    if (this->attached()) {
        this->detach("replaced by a newer connection");
    }
    this->connection = std::move(newConnection);
    this->key = std::move(newKey);
    ++this->currentGeneration;
    this->attachedAt = base::steadyNow();
    this->lastPing = {};
    this->connection->setOwner(*this);
    this->connection->setFrameLimit(this->limits.frameBytes);
    linkLog().info("Link to {} is up.", this->peer);
    if (announce) {
        wire::BodyUnion body;
        body.Set(wire::AdoptT());
        this->connection->write(bodyFrame(body));
    }
    this->box.open(this->currentGeneration);
    this->connection->flush();
}

void PeerLink::drop(const std::string &reason)
{
    if (this->attached()) {
        this->detach(reason);
        this->callReceiver->linkLost(this->peer, reason);
    }
}

const std::string &PeerLink::provedKey() const
{
    return this->key;
}

void PeerLink::requestFlush()
{
    this->flushRequested.store(true);
}

void PeerLink::flushIfRequested()
{
    if (this->flushRequested.exchange(false) && this->attached()) {
        this->connection->flush();
    }
}

void PeerLink::tick(base::SteadyTime now)
{
    endCalls(this->box.expire(now));
    if (!this->attached()) {
        return;
    }
    this->publishBytes();
    if (now - this->connection->lastReceived() >= this->timings.deadLimit) {
        this->drop(fmt::format("nothing was received for {} ms", this->timings.deadLimit.count()));
        return;
    }
    const base::SteadyTime idleSince = std::min(this->connection->lastReceived(), this->connection->lastSent());
    if (now - std::max(idleSince, this->lastPing) >= this->timings.heartbeatInterval) {
        this->ping(now);
    }
}

base::SteadyTime PeerLink::nextTick() const
{
    base::SteadyTime next = base::SteadyTime::max();
    if (this->attached()) {
        const base::SteadyTime idleSince = std::min(this->connection->lastReceived(), this->connection->lastSent());
        next = std::min(this->connection->lastReceived() + this->timings.deadLimit, std::max(idleSince, this->lastPing) + this->timings.heartbeatInterval);
    }
    if (const std::optional<base::SteadyTime> deadline = this->box.nextDeadline()) {
        next = std::min(next, *deadline);
    }
    return next;
}

void PeerLink::connected(Connection & /*source*/)
{
}

void PeerLink::frameArrived(Connection &source, std::string body)
{
    if (body.size() == 1) {
        this->heartbeatArrived(body.front());
        return;
    }
    const wire::Frame &frame = parseFrame(body);
    if (const wire::Message *message = frame.body_as_Message()) {
        this->messageArrived(*message);
    } else if (const wire::Call *call = frame.body_as_Call()) {
        this->callReceiver->callArrived(this->peer, this->currentGeneration, *call);
    } else if (const wire::Answer *answer = frame.body_as_Answer()) {
        this->answerArrived(*answer);
    } else {
        throw base::Error(base::ResultCode::LinkFrameInvalid, fmt::format("{} sent a frame of a kind that is not allowed on an established link.", this->peer));
    }
    if (!source.closed()) {
        this->publishBytes();
    }
}

void PeerLink::outputDrained(Connection &source)
{
    std::string output;
    this->box.takeFrames(OutputBytes, output, base::steadyNow());
    if (!output.empty()) {
        source.write(output);
    }
    this->publishBytes();
}

void PeerLink::connectionLost(Connection &source, const std::string &reason)
{
    if (this->connection.get() == &source) {
        this->drop(reason);
    }
}

void PeerLink::heartbeatArrived(char kind)
{
    if (kind == static_cast<char>(Heartbeat::Ping)) {
        this->connection->write(heartbeatFrame(Heartbeat::Echo));
        this->connection->flush();
    } else if (kind == static_cast<char>(Heartbeat::Echo)) {
        const auto roundTrip = std::chrono::duration_cast<std::chrono::microseconds>(base::steadyNow() - this->lastPing);
        this->roundTripMicroseconds.store(roundTrip.count());
    } else {
        throw base::Error(base::ResultCode::LinkFrameInvalid, fmt::format("{} sent an unknown heartbeat.", this->peer));
    }
}

void PeerLink::messageArrived(const wire::Message &message)
{
    if (const MessageHandler *handler = this->receivers->messageHandler(message.channel())) {
        (*handler)(this->peer, readBytes(message.payload()));
    }
}

void PeerLink::answerArrived(const wire::Answer &answer)
{
    if (const std::optional<CallDone> done = this->box.takeAnsweredCall(answer.id())) {
        (*done)({static_cast<base::ResultCode>(answer.code()), true, readBytes(answer.payload())});
    }
}

void PeerLink::ping(base::SteadyTime now)
{
    this->lastPing = now;
    this->connection->write(heartbeatFrame(Heartbeat::Ping));
    this->connection->flush();
}

void PeerLink::detach(const std::string &reason)
{
    this->publishBytes();
    this->earlierBytesIn += this->connection->bytesIn();
    this->earlierBytesOut += this->connection->bytesOut();
    this->connection->close();
    this->connection.reset();
    this->counters->linksLost.fetch_add(1);
    linkLog().warn("Link to {} is down: {}.", this->peer, reason);
    endCalls(this->box.close());
}

void PeerLink::publishBytes()
{
    if (this->attached()) {
        this->bytesIn.store(this->earlierBytesIn + this->connection->bytesIn());
        this->bytesOut.store(this->earlierBytesOut + this->connection->bytesOut());
    }
}

} // namespace cranberryreel::link
