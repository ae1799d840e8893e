#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Ids.h"
#include "policy/ZoneState.h"

#include <cstdint>
#include <vector>

namespace cranberryreel::policy
{

/// Frees capacity by checkpointing and stopping batch tasks: of partners above their fair share for a partner below its own, and of the same partner for its
/// urgent work. The freed VM is reserved for the job that the tasks were preempted for. Owned by the planner; used by its thread only.
class Preemptor
{
public:
    explicit Preemptor(ZoneState &zoneState)
        : zone(zoneState)
    {
    }

    /// Preempts tasks for the first jobs of the queues that have no capacity.
    void preemptForBlockedJobs(base::SteadyTime now);

    /// Releases VM reservations that expired or are no longer needed.
    void expireVmReservations(base::SteadyTime now);

private:
    struct Plan {
        VmIndex vm = NoIndex;
        double cost = 0; ///< Seconds of work lost or moved.
        std::vector<TaskRef> victims;
    };

    /// Returns whether it considered any victims.
    bool tryPreemptFor(JobIndex job, base::SteadyTime now);
    bool mayPreempt(const JobEntry &job, base::SteadyTime now) const;
    bool mayPreemptFrom(const JobEntry &job, bool withinFairShare, PartnerIndex victim) const;
    void preemptFor(JobIndex job, const Plan &plan, base::SteadyTime now);
    Plan planOnVm(VmIndex vm, const JobEntry &job, base::SteadyTime now) const;

    ZoneState &zone;
    std::vector<JobIndex> jobsWithReservedVm;
    std::vector<bool> preemptiblePartners; ///< By partner: whether its tasks may be preempted for the job being handled.
};

} // namespace cranberryreel::policy
