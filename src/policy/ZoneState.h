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

/// The planner's state of its zone, with the operations that keep its parts consistent. Owned by the planner; the planner's parts hold references. Used by the
/// planner's thread only.
struct ZoneState {
    Ledger ledger;
    JobTable jobs;
    FairShares shares;
    WorkModel workModel;
    WorkQueues queues;
    UpstreamHealth health;
    Profile profile = Profile::WaitingTime;
    std::chrono::milliseconds giveBackWithin{60000};
    std::deque<Decision> decisions; ///< Decided but not yet returned by plan().
    std::vector<std::vector<TaskRef>> preemptible; ///< Active preemptible tasks by partner, in order of start except where a removal moved the last one.
    absl::btree_set<std::pair<base::SteadyTime, JobIndex>> requestsByLatestStart; ///< Waiting requests by the latest time at which they may start.
    Demand requestsReserved; ///< Reserved by requests.
    std::uint32_t requestsWaiting = 0; ///< Number of waiting request tasks.
    std::vector<RateMeter> requestStarts; ///< By partner.
    RateMeter allRequestStarts;
    std::uint64_t nextSequence = 1;

    /// Returns what a task of the job reserves now: the larger of declared and learned size, if the VMs that serve the job and the quota could hold that; else
    /// the declared size.
    model::Resources reservationSize(const JobEntry &job) const;

    /// Recomputes the job's need from what was learned.
    void updateNeed(JobEntry &job);

    /// Counts tasks as waiting and queues the job.
    void addWaiting(JobIndex index, std::uint32_t tasks);

    /// Counts tasks as no longer waiting; the caller sets their phase.
    void removeWaiting(JobIndex index, std::uint32_t tasks);

    /// Reserves capacity for a waiting task and records the decision to start it.
    void start(JobIndex index, std::uint32_t task, VmIndex vm, UpstreamIndex upstream);

    /// Adds a task that already runs.
    void adopt(JobIndex index, std::uint32_t task, UpstreamIndex upstream, const model::Resources &reserved, base::SteadyTime now);

    /// Releases a task's reservation; its phase becomes Ended.
    void release(JobIndex index, std::uint32_t task);

    /// Raises a running task's reservation if its VM has the free capacity; returns whether it did.
    bool grow(JobIndex index, std::uint32_t task, const model::Resources &size);

    /// Records the decision to checkpoint and stop a task.
    void preempt(TaskRef ref, base::ResultCode code, const std::string &reason);

    /// Makes a task wait again at its old position in the queue.
    void requeueTask(JobIndex index, std::uint32_t task);

    /// Removes the job if none of its tasks waits or runs.
    void removeIfFinished(JobIndex index);

    /// Releases the VM that was reserved for the job while tasks were preempted for it.
    void releaseReservedVm(JobEntry &job);

    /// Applies the slot limits set by the upstream health to the ledger.
    void applySlotLimits();

    std::vector<TaskRef> &preemptibleTasks(PartnerIndex partner);
    RateMeter &requestStartRate(PartnerIndex partner);

private:
    void recordPlacement(JobIndex index, std::uint32_t task, VmIndex vm, UpstreamIndex upstream, const model::Resources &size, std::uint32_t indexOnVm);
};

} // namespace cranberryreel::policy
