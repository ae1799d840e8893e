#pragma once

#include "cell/AdviceDispatcher.h"
#include "cell/CellCaller.h"
#include "cell/CellOptions.h"
#include "cell/CellScheduler.h"
#include "cell/CellStore.h"
#include "cell/UpstreamCalls.h"
#include "link/LinkHub.h"
#include "replication/Group.h"
#include "replication/GroupTimings.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// How a VM takes part in the group that holds the cell's state.
struct MemberOptions {
    std::string dataFolder;
    std::vector<std::string> seeds; ///< VMs.
    std::size_t voters = 3; ///< The group has so many members at most; an odd number, so that no even split stops it.
    bool firstStart = false; ///< The whole cell starts for the first time; the seeds found its group.
    replication::GroupTimings timings;
};

/// One VM that holds the cell's state: a member of the cell group and its scheduler. It joins the group when it is no member. Owned by the daemon.
class CellMember
{
public:
    CellMember(
        MemberOptions memberOptions, CellOptions cellOptions, link::LinkHub &linkHub, CellCaller &cellCaller, UpstreamCalls &calls, AdviceDispatcher &advice);
    ~CellMember();

    void start();

    /// Hands leadership over where it holds it.
    void stop(std::chrono::milliseconds limit);

    /// A call from another VM or this one. Any thread.
    void call(const std::string &fromVm, wire::CallT call, Reply reply);

    void receive(const std::string &fromVm, std::string bytes);

    /// The availability zone of an upstream; empty when it is not known.
    std::string zoneOf(const std::string &upstream) const;

private:
    void watch();
    void joinIfOutside();
    void watchMembers();
    bool belongs() const;
    void joinAsked(const std::string &vm, const Reply &reply);
    wire::ReplyT lookUp() const;
    bool leads() const;
    void tellAll(std::uint64_t term);

    const MemberOptions options;
    const CellOptions cell;
    link::LinkHub &hub;
    CellCaller &caller;
    CellStore store;
    CellScheduler scheduler;
    std::unique_ptr<replication::Group> group;
    base::Mailbox timers;
    mutable absl::Mutex mutex;
    std::map<std::string, base::SteadyTime> unseenSince ABSL_GUARDED_BY(mutex); ///< Members without a link, as the leader sees it.
};

} // namespace cranberryreel::cell
