#pragma once

#include "link/LinkKeys.h"

#include "cranberryreel/base/ResultCode.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cranberryreel::link
{

/// The purpose of a message or call. A daemon has at most one message handler and one call handler per channel.
enum class Channel : std::uint8_t {
    ZoneGroup = 1, ///< Replication messages of a zone group; the first byte string of the payload names the group.
    ConfigGroup = 2, ///< Replication messages of the configuration group.
    Zone = 3, ///< Calls to a zone scheduler.
    Config = 4, ///< Configuration fetch, announcements of revisions, operators' changes forwarded to the leader.
    Gossip = 5, ///< Leaders and load of the zones.
    CellGroup = 6, ///< Replication messages of the cell group.
    Cell = 7, ///< Calls to the cell scheduler, and calls from it to the VMs that query the advice services.
    CellLead = 8, ///< Announces that the sender's cell scheduler has acquired leadership; the payload is its term in decimal digits.
    Last = CellLead,
};

struct CallResult {
    base::ResultCode code = base::ResultCode::Ok; ///< LinkDown: if `sent` is true, the peer may have acted on the call; otherwise it has not.
    bool sent = true; ///< False only if no byte of the call has left this VM.
    std::string payload;
};

using CallDone = std::function<void(CallResult)>;

/// Answers one call. May be stored and invoked later, from any thread, at most once.
using Responder = std::function<void(std::string payload)>;

using MessageHandler = std::function<void(const std::string &fromVm, std::string payload)>;
using CallHandler = std::function<void(const std::string &fromVm, std::string payload, const std::string &traceparent, Responder respond)>;

struct PeerStatus {
    std::string vm;
    bool up = false;
    std::chrono::microseconds roundTrip{0};
    std::uint64_t bytesOut = 0; ///< Bytes sent on this link since the hub's start, framing included.
    std::uint64_t bytesIn = 0;
};

/// Counts of events on all links of a hub since its start.
struct LinkFigures {
    std::uint64_t handshakesRefused = 0; ///< Connections refused for an unknown VM, another protocol version or a wrong key.
    std::uint64_t framesInvalid = 0;
    std::uint64_t linksLost = 0;
    std::uint64_t answersDropped = 0; ///< Answers of this VM dropped because their connection was lost or its queue full.
};

/// Links to all other daemons of the deployment: one multiplexed TCP connection per pair of peers, authenticated by a shared key, with heartbeats both ways.
/// Handlers run on the hub's own I/O thread and must not block. Owned by the daemon.
class LinkHub
{
public:
    virtual ~LinkHub() = default;

    virtual void onMessage(Channel channel, MessageHandler handler) = 0; ///< Must be called before start().
    virtual void onCall(Channel channel, CallHandler handler) = 0; ///< Must be called before start().
    virtual void start() = 0; ///< Throws base::Error(PortInUse).
    virtual void stop() = 0;

    /// Sends a one-way message, best effort. Returns false when there is no link, its queue is full or the payload is too large. Any thread.
    virtual bool send(const std::string &toVm, Channel channel, std::string payload) = 0;

    /// Sends a call and reports its answer. `done` runs once, on the I/O thread, at the latest when `limit` has passed. A call to the own VM is delivered
    /// locally. Any thread.
    virtual void
    call(const std::string &toVm, Channel channel, std::string payload, std::chrono::milliseconds limit, const std::string &traceparent, CallDone done) = 0;

    /// Replaces the accepted keys. Links authenticated by a key that is no longer accepted are dropped and dialed again; the others stay up. Any thread.
    virtual void setKeys(LinkKeys keys) = 0;

    /// Adds a peer, or sets the address of a known one; `address` is "IP:PORT". Any thread. Throws base::Error(SettingsBadValue).
    virtual void addPeer(const std::string & /*vm*/, const std::string & /*address*/)
    {
    }

    /// Stops dialing a peer until it is added again. A link to it stays up until it is lost, and the peer may still connect by itself. Any thread.
    virtual void stopDialing(const std::string & /*vm*/)
    {
    }

    virtual std::vector<PeerStatus> peers() const = 0;
    virtual LinkFigures figures() const = 0;
    virtual bool isUp(const std::string &vm) const = 0;
};

} // namespace cranberryreel::link
