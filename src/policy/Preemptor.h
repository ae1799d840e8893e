#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Ids.h"
#include "policy/ZoneState.h"

#include <cstdint>
#include <vector>

namespace cranberryreel::policy
{

/// Makes room by checkpointing and stopping batch tasks: of partners that hold more than their due for a partner that has less, and of the same partner for its
/// urgent work. The freed VM is held for the job in whose favour it was done. Owned by the planner.
class Preemptor
{
public:
    explicit Preemptor(ZoneState &zoneState)
        : zone(zoneState)
    {
    }

    /// Looks at the heads of the queues that have no room.
    void makeRoom(base::SteadyTime now);

    /// Opens VMs that were held for longer than their use.
    void expireHolds(base::SteadyTime now);

private:
    struct Plan {
        VmIndex vm = NoIndex;
        double cost = 0; ///< Seconds of work lost or moved.
        std::vector<TaskRef> victims;
    };

    /// Returns whether it looked for victims.
    bool tryFor(JobIndex job, base::SteadyTime now);
    bool mayAsk(const JobEntry &job, base::SteadyTime now) const;
    bool mayTakeFrom(const JobEntry &job, bool withinDue, PartnerIndex victim) const;
    void preemptFor(JobIndex job, const Plan &plan, base::SteadyTime now);
    Plan planOn(VmIndex vm, const JobEntry &job, base::SteadyTime now) const;

    ZoneState &zone;
    std::vector<JobIndex> holders;
    std::vector<bool> takeable; ///< By partner: whose tasks the job at hand may take the place of.
};

} // namespace cranberryreel::policy
