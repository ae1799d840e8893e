#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Ids.h"
#include "policy/ZoneState.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <vector>

namespace cranberryreel::policy
{

/// Empties VMs under the packing profile: VMs that run only batch tasks and are little used have these tasks checkpointed and moved to other VMs in use. The
/// number of moves per round is bounded, and no task is moved while other work waits. Owned by the planner; used by its thread only.
class Consolidator
{
public:
    explicit Consolidator(ZoneState &zoneState)
        : zone(zoneState)
    {
    }

    void consolidate(base::SteadyTime now);

private:
    /// The job index under which the consolidator reserves VMs; no real job has it.
    static constexpr JobIndex ReservingJob = NoIndex - 1;

    struct VmBeingEmptied {
        VmIndex vm = NoIndex;
        base::SteadyTime until;
    };

    void releaseEmptiedVms(base::SteadyTime now);
    bool canBeEmptied(const LedgerVm &vm, base::SteadyTime now) const;
    std::vector<VmIndex> findCandidates(base::SteadyTime now) const;
    bool planMoves(VmIndex vm, absl::flat_hash_map<VmIndex, Demand> &plannedDemand) const;

    ZoneState &zone;
    std::vector<VmBeingEmptied> vmsBeingEmptied;
    base::SteadyTime nextRunAt;
};

} // namespace cranberryreel::policy
