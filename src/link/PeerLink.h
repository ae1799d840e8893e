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

/// Receives calls and link losses from a PeerLink on the I/O thread. `generation` identifies the connection of the call; only that one may carry the answer.
class CallReceiver
{
public:
    virtual ~CallReceiver() = default;
    virtual void callArrived(const std::string &fromVm, std::uint64_t generation, const wire::Call &call) = 0;
    virtual void linkLost(const std::string &vm, const std::string &reason) = 0;
};

/// The link to one peer, carried by successive connections, one at a time. Owned by the hub. outbox(), requestFlush(), status() and vm() may be called from
/// any thread, all other functions on the I/O thread only.
class PeerLink : public ConnectionOwner
{
public:
    PeerLink(std::string peerVm, Endpoint peerAddress, const LinkTimings &linkTimings, const LinkLimits &linkLimits, DialSchedule schedule);

    /// Must be called before the first connection is attached.
    void setReceivers(const Receivers &hubReceivers, CallReceiver &hubCallReceiver, LinkCounters &hubCounters);

    const std::string &vm() const;
    /// Empty for a peer without a known address, which is not dialed.
    const Endpoint &address() const;
    void setAddress(const Endpoint &peerAddress);
    Outbox &outbox();
    DialSchedule &dialSchedule();
    PeerStatus status() const;

    bool attached() const;

    /// Whether the link came up after this connection was opened. If so, both ends dialed at the same time and this connection is redundant.
    bool openedBeforeAttach(const Connection &candidate) const;

    /// Makes an authenticated connection carry the link, in place of any earlier one. If `announce` is set, sends an Adopt frame to the peer.
    void attach(std::shared_ptr<Connection> newConnection, std::string newKey, bool announce);
    void drop(const std::string &reason);
    const std::string &provedKey() const;

    /// Requests that the frames queued in the outbox are sent. Any thread.
    void requestFlush();
    void flushIfRequested();

    /// Sends heartbeats, enforces the dead limit and ends calls whose deadline has passed.
    void tick(base::SteadyTime now);
    base::SteadyTime nextTick() const;

    void connected(Connection &source) override;
    void frameArrived(Connection &source, std::string body) override;
    void outputDrained(Connection &source) override;
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
    base::SteadyTime lastPing{};
    std::atomic<bool> flushRequested{false};
    std::uint64_t earlierBytesIn = 0;
    std::uint64_t earlierBytesOut = 0;
    std::atomic<std::int64_t> roundTripMicroseconds{0};
    std::atomic<std::uint64_t> bytesIn{0};
    std::atomic<std::uint64_t> bytesOut{0};
};

} // namespace cranberryreel::link
