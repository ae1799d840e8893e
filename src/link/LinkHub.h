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

/// What a frame is for. Each channel has one receiver in a daemon.
enum class Channel : std::uint8_t {
    ZoneGroup = 1, ///< Replication messages of a zone group; the first byte string of the payload names the group.
    ConfigGroup = 2, ///< Replication messages of the configuration group.
    Zone = 3, ///< Calls to a zone scheduler.
    Config = 4, ///< Configuration fetch, announcements of revisions, operators' changes on their way to the leader.
    Gossip = 5, ///< Leaders and load of zones.
    CellGroup = 6, ///< Replication messages of the cell group.
    Cell = 7, ///< Calls to the cell scheduler, and from it to those who ask for advice.
    CellLead = 8, ///< Word of a cell scheduler that it leads now; the payload is its term in decimal digits.
    Last = CellLead,
};

struct CallResult {
    base::ResultCode code = base::ResultCode::Ok; ///< LinkDown: the peer may or may not have acted. LinkDown with sent == false: it has not.
    bool sent = true; ///< False only when provably no byte of the call left this VM.
    std::string payload;
};

using CallDone = std::function<void(CallResult)>;

/// Answers one call; may be kept and invoked later from any thread, once.
using Responder = std::function<void(std::string payload)>;

using MessageHandler = std::function<void(const std::string &fromVm, std::string payload)>;
using CallHandler = std::function<void(const std::string &fromVm, std::string payload, const std::string &traceparent, Responder respond)>;

struct PeerStatus {
    std::string vm;
    bool up = false;
    std::chrono::microseconds roundTrip{0};
    std::uint64_t bytesOut = 0; ///< Since start, on this link, framing included.
    std::uint64_t bytesIn = 0;
};

/// Events on all links of a hub since its start.
struct LinkFigures {
    std::uint64_t handshakesRefused = 0; ///< Connections of strangers, of other versions, or with a wrong key.
    std::uint64_t framesInvalid = 0;
    std::uint64_t linksLost = 0;
    std::uint64_t answersDropped = 0; ///< Answers of this VM that found their link gone or full.
};

/// Links to all other daemons of the deployment: one multiplexed TCP connection a peer pair, heartbeats both ways, authenticated by a shared key.
/// Handlers run on the hub's own I/O thread and must not block. Owned by the daemon.
class LinkHub
{
public:
    virtual ~LinkHub() = default;

    virtual void onMessage(Channel channel, MessageHandler handler) = 0; ///< Before start() only.
    virtual void onCall(Channel channel, CallHandler handler) = 0; ///< Before start() only.
    virtual void start() = 0; ///< Throws base::Error(PortInUse).
    virtual void stop() = 0;

    /// One way, best effort; false when there is no link or its queue is full. Any thread.
    virtual bool send(const std::string &toVm, Channel channel, std::string payload) = 0;

    /// Request and answer. The callback runs once, on the I/O thread, at the latest when the limit has passed. Any thread. A call to the own VM is
    /// delivered locally.
    virtual void
    call(const std::string &toVm, Channel channel, std::string payload, std::chrono::milliseconds limit, const std::string &traceparent, CallDone done) = 0;

    /// Accepts other keys from now on. Links that were proved by a key that is gone are dropped and dialed anew; the others go on. Any thread.
    virtual void setKeys(LinkKeys keys) = 0;

    /// Adds a peer "IP:PORT" that was not known when the hub was built; a known one stays as it is. Any thread. Throws base::Error(SettingsBadValue).
    virtual void addPeer(const std::string & /*vm*/, const std::string & /*address*/)
    {
    }

    virtual std::vector<PeerStatus> peers() const = 0;
    virtual LinkFigures figures() const = 0;
    virtual bool isUp(const std::string &vm) const = 0;
};

} // namespace cranberryreel::link
