#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Ids.h"
#include "policy/ZoneState.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <vector>

namespace cranberryreel::policy
{

/// Under the packing profile: empties VMs that hold little but batch tasks, by checkpointing and moving these to VMs that are in use anyway. The number of
/// moves is bounded, and none is made while other work waits. Owned by the planner.
class Consolidator
{
public:
    explicit Consolidator(ZoneState &zoneState)
        : zone(zoneState)
    {
    }

    void advance(base::SteadyTime now);

private:
    /// Stands for the consolidator among the holders of VMs.
    static constexpr JobIndex Holder = NoIndex - 1;

    struct Closing {
        VmIndex vm = NoIndex;
        base::SteadyTime until;
    };

    void reopen(base::SteadyTime now);
    bool isMovable(const LedgerVm &vm, base::SteadyTime now) const;
    std::vector<VmIndex> candidates(base::SteadyTime now) const;
    bool findPlaces(VmIndex vm, absl::flat_hash_map<VmIndex, Demand> &taken) const;

    ZoneState &zone;
    std::vector<Closing> closing;
    base::SteadyTime nextAt;
};

} // namespace cranberryreel::policy
