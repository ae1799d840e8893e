#pragma once

#include "link/Connection.h"
#include "link/DialSchedule.h"
#include "link/Frames.h"
#include "link/LinkCounters.h"
#include "link/Outbox.h"
#include "link/Receivers.h"

#include <atomic>
#include <memory>
#include <string>

namespace cranberryreel::link
{

/// Takes a call that arrived on a link; `generation` names the connection that alone may carry the answer.
class CallReceiver
{
public:
    virtual ~CallReceiver() = default;
    virtual void callArrived(const std::string &fromVm, std::uint64_t generation, const wire::Call &call) = 0;
    virtual void linkLost(const std::string &vm, const std::string &reason) = 0;
};

/// The link to one peer over its life of many connections, one at a time. Owned by the hub; all but outbox(), requestPump() and status() on the I/O thread.
class PeerLink : public ConnectionOwner
{
public:
    PeerLink(std::string peerVm, Endpoint peerAddress, const LinkTimings &linkTimings, const LinkLimits &linkLimits, DialSchedule schedule);

    /// Before the first connection.
    void setReceivers(const Receivers &hubReceivers, CallReceiver &hubCallReceiver, LinkCounters &hubCounters);

    const std::string &vm() const;
    /// Empty for a peer that is never dialed.
    const Endpoint &address() const;
    void learnAddress(const Endpoint &peerAddress);
    Outbox &outbox();
    DialSchedule &dialSchedule();
    PeerStatus status() const;

    bool attached() const;

    /// Whether the link came up after this connection was opened: then both ends dialed at once, and the connection is not needed.
    bool crossed(const Connection &candidate) const;

    /// Makes an authenticated connection the link, in place of any earlier one. `announce` tells the peer so.
    void attach(std::shared_ptr<Connection> newConnection, std::string newKey, bool announce);
    void drop(const std::string &reason);
    const std::string &provedKey() const;

    /// Says that frames wait in the outbox. Any thread.
    void requestPump();
    void pumpIfRequested();

    /// Heartbeats and the dead limit; ends calls whose time is up.
    void tick(base::SteadyTime now);
    base::SteadyTime nextTick() const;

    void connected(Connection &source) override;
    void frameArrived(Connection &source, std::string body) override;
    void drained(Connection &source) override;
    void connectionLost(Connection &source, const std::string &reason) override;

private:
    void heartbeatArrived(char kind);
    void messageArrived(const wire::Message &message);
    void answerArrived(const wire::Answer &answer);
    void ping(base::SteadyTime now);
    void detach(const std::string &reason);
    void publishBytes();

    const std::string peer;
    Endpoint endpoint;
    const LinkTimings timings;
    const LinkLimits limits;
    const Receivers *receivers = nullptr;
    CallReceiver *callReceiver = nullptr;
    LinkCounters *counters = nullptr;
    DialSchedule schedule;
    Outbox box;
    std::shared_ptr<Connection> connection;
    std::string key;
    std::uint64_t currentGeneration = 0;
    base::SteadyTime attachedAt{};
    base::SteadyTime pinged{};
    std::atomic<bool> pumpRequested{false};
    std::uint64_t earlierBytesIn = 0;
    std::uint64_t earlierBytesOut = 0;
    std::atomic<std::int64_t> roundTripMicroseconds{0};
    std::atomic<std::uint64_t> bytesIn{0};
    std::atomic<std::uint64_t> bytesOut{0};
};

} // namespace cranberryreel::link
