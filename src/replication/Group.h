#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/base/ResultCode.h"
#include "replication/Member.h"
#include "replication/PeerHealth.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cranberryreel::replication
{

/// Where a command must be stored before its proposal succeeds.
enum class Durability : std::uint8_t {
    Majority, ///< A majority of the members holds it.
    SyncedDisk, ///< A majority holds it and at least one member has synced it to a disk.
};

/// The outcome of a proposal. Ok: applied, `result` is what apply returned. NotLeader, NoDurableStore, QueueFull and BodyTooLarge (3 MiB): this
/// proposal has not applied the command and never will. GroupUnavailable: the outcome is unknown, for instance after a loss of leadership; the command may
/// still be applied.
struct ProposeResult {
    base::ResultCode code = base::ResultCode::Ok;
    std::string result;
};

using ProposeCallback = std::function<void(ProposeResult)>;

/// One member's view of its group.
struct GroupStatus {
    std::uint64_t term = 0;
    bool leader = false; ///< True only while the leader lease holds.
    std::string leaderVm; ///< Last known leader; empty when none is known.
    std::uint64_t committed = 0;
    std::uint64_t applied = 0;
    std::vector<std::string> members;
    bool changingMembers = false; ///< A change of the membership is not committed yet.
    std::vector<PeerHealth> peers; ///< On the leader: the members, itself included, and the standbys; empty elsewhere.
    bool caughtUp = false; ///< False for a member that may not vote yet, for instance after a restart without its stored log.
    std::string reason; ///< Why the group cannot commit, as seen by this member; empty while it can.
    std::uint64_t formationTerm = 0; ///< The term of the last cold start; 0 when none is known.
    std::uint64_t droppedMessages = 0; ///< Count of received payloads that did not decode as a message of the group.

    /// Returns null when the VM is not among the peers.
    const PeerHealth *findPeer(const std::string &vm) const
    {
        const auto found = std::find_if(this->peers.begin(), this->peers.end(), [&vm](const PeerHealth &peer) { return peer.vm == vm; });
        return found == this->peers.end() ? nullptr : &*found;
    }
};

/// Receives changes of leadership on the group's own thread. When leadership is acquired, every committed command of earlier terms has been applied already.
/// A lease that expires and is renewed within one term is not reported: call Group::holdsLease before each action that needs the lease.
class LeadershipListener
{
public:
    virtual ~LeadershipListener() = default;
    virtual void leadershipAcquired(std::uint64_t term) = 0;
    virtual void leadershipLost(std::uint64_t term) = 0;
};

/// One member of one replicated group, running on its own thread. The schedulers and the configuration store replicate their state through this interface.
/// Owned by the daemon's component that uses it; all functions but start() and stop() may be called from any thread.
class Group
{
public:
    virtual ~Group() = default;

    virtual void start() = 0;

    /// Hands leadership over if this member holds it, then stops; returns within the limit, or within 2 s where the limit is shorter and the disk does not
    /// answer.
    virtual void stop(std::chrono::milliseconds limit) = 0;

    /// Proposes a command; only the leader can. The callback runs once, on the group's thread; it must not block.
    virtual void propose(std::string command, Durability durability, ProposeCallback done) = 0;

    /// Calls `done` once every command committed before the call has been applied here (linearizable read). Needs the leader lease or a round trip to the
    /// leader.
    virtual void readBarrier(std::function<void(base::ResultCode)> done) = 0;

    /// Takes a message of another member, as its transport sent it. Any thread.
    virtual void receive(const std::string &fromVm, std::string bytes) = 0;

    /// Proposes a new membership through the log, one change at a time; only the leader can. A new member counts toward commits once it has caught up. The
    /// callback works as in propose(); it also gets GroupUnavailable while an earlier change is not committed.
    virtual void changeMembers(std::vector<Member> members, ProposeCallback done) = 0;

    /// Sets the standbys of the leader: VMs that are no members and follow the log, so that they can become members without delay. No effect on other members.
    virtual void setStandbys(std::vector<std::string> vms) = 0;

    /// Makes the leader move to a term of at least `atLeast`: it loses leadership and acquires it again in the new term. No effect on other members.
    virtual void raiseTerm(std::uint64_t atLeast) = 0;

    virtual GroupStatus status() const = 0;

    /// True while this member leads and its lease holds at `now`. Cheap (one atomic read); any thread.
    virtual bool holdsLease(base::SteadyTime now) const = 0;
};

/// Sends bytes to another member: best effort; messages may be lost, repeated or reordered. Must not block.
using SendToMember = std::function<void(const std::string &toVm, std::string bytes)>;

} // namespace cranberryreel::replication
