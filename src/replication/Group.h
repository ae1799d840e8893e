#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/base/ResultCode.h"
#include "replication/Member.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cranberryreel::replication
{

/// How safely a command must be kept before its proposer hears of it.
enum class Durability : std::uint8_t {
    Majority, ///< A majority of the members holds it.
    SyncedDisk, ///< And at least one member has synced it to a disk.
};

/// The outcome of a proposal. Ok: applied, `result` is what apply returned. NotLeader, NoDurableStore, QueueFull and BodyTooLarge (3 MiB): it was not and
/// will not be applied by this proposal. GroupUnavailable: leadership was lost on the way; it may still be applied.
struct ProposeResult {
    base::ResultCode code = base::ResultCode::Ok;
    std::string result;
};

using ProposeCallback = std::function<void(ProposeResult)>;

/// This member's view of its group.
struct GroupStatus {
    std::uint64_t term = 0;
    bool leader = false; ///< True only while the leader lease holds.
    std::string leaderVm; ///< Last known leader; empty when none is known.
    std::uint64_t committed = 0;
    std::uint64_t applied = 0;
    std::vector<std::string> members;
    bool caughtUp = false; ///< False for a member that returned without its memory and may not vote yet.
    std::string reason; ///< Why the group does not decide, as seen here; empty while it does.
    std::uint64_t formationTerm = 0; ///< The term in which the group was formed anew from a cold start; 0 when none is known.
    std::uint64_t droppedMessages = 0; ///< Received bytes that were no message of the group.
};

/// Told on the group's own thread. On gaining leadership every committed command of earlier terms has been applied already. A lease that lapses and is
/// renewed within one term is not told: ask Group::holdsLease before each act that needs it.
class LeadershipListener
{
public:
    virtual ~LeadershipListener() = default;
    virtual void leadershipGained(std::uint64_t term) = 0;
    virtual void leadershipLost(std::uint64_t term) = 0;
};

/// One member of one replicated group, run by a thread of its own. The interface that the zone scheduler and the configuration store use.
class Group
{
public:
    virtual ~Group() = default;

    virtual void start() = 0;

    /// Hands leadership over where it holds it, then stops; returns within the limit.
    virtual void stop(std::chrono::milliseconds limit) = 0;

    /// Proposes a command; only the leader can. The callback runs once, on the group's thread; it must not block.
    virtual void propose(std::string command, Durability durability, ProposeCallback done) = 0;

    /// Answers once every command committed before the call has been applied here (linearizable read); needs the leader lease or a round to the leader.
    virtual void readBarrier(std::function<void(base::ResultCode)> done) = 0;

    /// Bytes from another member, as its transport sent them. Any thread.
    virtual void receive(const std::string &fromVm, std::string bytes) = 0;

    /// Makes these the members, through the log, one change at a time; only the leader can. A new member counts once a leader has caught it up. The callback
    /// is that of propose(); GroupUnavailable also while an earlier change is under way.
    virtual void changeMembers(std::vector<Member> members, ProposeCallback done) = 0;

    /// Has the leader move on to a term of at least `atLeast`: it loses leadership and gains it in the new term. Nothing happens on other members.
    virtual void raiseTerm(std::uint64_t atLeast) = 0;

    virtual GroupStatus status() const = 0;

    /// True while this member leads and its lease provably holds at `now`. Cheap; any thread.
    virtual bool holdsLease(base::SteadyTime now) const = 0;
};

/// How a group reaches its other members: best effort, any order, may lose or repeat. Must not block.
using SendToMember = std::function<void(const std::string &toVm, std::string bytes)>;

} // namespace cranberryreel::replication
