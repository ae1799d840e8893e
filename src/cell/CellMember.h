#pragma once

#include "cell/AdviceDispatcher.h"
#include "cell/CellCaller.h"
#include "cell/CellOptions.h"
#include "cell/CellScheduler.h"
#include "cell/CellStore.h"
#include "cell/GroupKeeper.h"
#include "cell/UpstreamCalls.h"
#include "cell/VoterWatch.h"
#include "link/LinkHub.h"
#include "replication/Group.h"
#include "replication/GroupTimings.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// How a VM takes part in the replication group that holds the cell's state.
struct MemberOptions {
    std::string dataFolder;
    std::vector<std::string> seeds; ///< VM names.
    GroupKeeper::Options membership;
    bool firstStart = false; ///< The whole cell starts for the first time: the seeds form the group.
    replication::GroupTimings timings;
};

/// One VM that holds the cell's state: a member of the replication group and its scheduler. It asks to stand by while it is not a member. Any thread.
/// Owned by the CellDaemon.
class CellMember
{
public:
    CellMember(
        MemberOptions memberOptions, CellOptions cellOptions, link::LinkHub &linkHub, CellCaller &cellCaller, UpstreamCalls &calls, AdviceDispatcher &advice);
    ~CellMember();

    void start();

    /// Hands leadership over if this VM leads; waits at most `limit`.
    void stop(std::chrono::milliseconds limit);

    /// Handles a peer call from another VM or this one. Any thread.
    void call(const std::string &fromVm, wire::CallT call, ReplyCallback reply);

    /// Handles a replication message.
    void receive(const std::string &fromVm, std::string bytes);

    /// The availability zone of an upstream; empty if the upstream is unknown.
    std::string zoneOfUpstream(const std::string &upstream) const;

private:
    void checkMembership();
    void requestStandby(const replication::GroupStatus &status);
    void keepGroup(const replication::GroupStatus &status);
    void changeMembers(const GroupKeeper::Plan &plan);
    bool isInGroup() const;
    void handleJoin(const std::string &vm, const ReplyCallback &reply);
    wire::ReplyT answerLookup() const;
    bool holdsLease() const;
    void announceLeadership(std::uint64_t term);

    const MemberOptions options;
    const CellOptions cell;
    link::LinkHub &hub;
    CellCaller &caller;
    CellStore store;
    CellScheduler scheduler;
    std::unique_ptr<replication::Group> group;
    VoterWatch voterWatch; ///< Used on the thread of `timers` only.
    base::Mailbox timers;
    mutable absl::Mutex mutex;
    GroupKeeper keeper ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::cell
