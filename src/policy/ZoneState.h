#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/FairShares.h"
#include "policy/Ids.h"
#include "policy/JobTable.h"
#include "policy/Ledger.h"
#include "policy/Planner.h"
#include "policy/RateMeter.h"
#include "policy/UpstreamHealth.h"
#include "policy/WorkModel.h"
#include "policy/WorkQueues.h"

#include <absl/container/btree_set.h>

#include <deque>
#include <utility>
#include <vector>

namespace cranberryreel::policy
{

/// Everything that the planner knows of its zone, and the few changes that must keep its parts in step. Owned by the planner; its helpers hold a reference.
struct ZoneState {
    Ledger ledger;
    JobTable jobs;
    FairShares shares;
    WorkModel model;
    WorkQueues queues;
    UpstreamHealth health;
    Profile profile = Profile::WaitingTime;
    std::chrono::milliseconds giveBackWithin{60000};
    std::deque<Decision> decisions; ///< Taken, not yet handed out.
    std::vector<std::vector<TaskRef>> preemptible; ///< Running tasks that may give way, by partner, oldest first.
    absl::btree_set<std::pair<base::SteadyTime, JobIndex>> shedding; ///< Waiting requests by the latest time they may start.
    Demand requestsReserved; ///< Held by requests.
    std::uint32_t requestsWaiting = 0; ///< Tasks.
    std::vector<RateMeter> requestStarts; ///< By partner.
    RateMeter allRequestStarts;
    std::uint64_t nextSequence = 1;

    /// What a task of the job reserves now: the larger of declared and learned, as long as the VMs that serve it and the
    /// quota could hold that.
    model::Resources sizeOf(const JobEntry &job) const;

    /// Applies a size learned since.
    void refreshNeed(JobEntry &job);

    /// Makes a task that is Absent or fresh count as waiting.
    void addWaiting(JobIndex index, std::uint32_t tasks);

    /// Takes tasks out of the waiting ones; their phase is the caller's matter.
    void removeWaiting(JobIndex index, std::uint32_t tasks);

    /// Reserves for a waiting task and records the decision to start it.
    void start(JobIndex index, std::uint32_t task, VmIndex vm, UpstreamIndex upstream);

    /// Takes in a task that runs already.
    void adopt(JobIndex index, std::uint32_t task, UpstreamIndex upstream, const model::Resources &reserved, base::SteadyTime now);

    /// Gives back what a task holds; its phase becomes Ended.
    void release(JobIndex index, std::uint32_t task);

    /// Raises a running task's reservation where its VM has the room.
    bool grow(JobIndex index, std::uint32_t task, const model::Resources &size);

    /// Records the decision to checkpoint and stop a task.
    void preempt(TaskRef ref, base::ResultCode code, const std::string &reason);

    /// Puts a waiting task back where it stood.
    void putBack(JobIndex index, std::uint32_t task);

    /// Forgets the job when nothing of it waits or runs.
    void forgetIfOver(JobIndex index);

    /// Opens the VM that was held for the job while others gave way to it.
    void dropHold(JobEntry &job);

    /// Hands the limits that health has set to the ledger.
    void applySlotLimits();

    std::vector<TaskRef> &preemptibleOf(PartnerIndex partner);
    RateMeter &requestStartsOf(PartnerIndex partner);

private:
    void occupy(JobIndex index, std::uint32_t task, VmIndex vm, UpstreamIndex upstream, const model::Resources &size, std::uint32_t place);
};

} // namespace cranberryreel::policy
