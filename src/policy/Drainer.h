#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Ids.h"
#include "policy/ZoneState.h"

#include <absl/container/btree_set.h>

namespace cranberryreel::policy
{

/// Moves work off draining VMs: service tasks one per job at a time, once they fit elsewhere, and batch tasks that would still run for long. Requests and
/// gangs run to their end. Owned by the planner; used by its thread only.
class Drainer
{
public:
    explicit Drainer(ZoneState &zoneState)
        : zone(zoneState)
    {
    }

    void setDraining(VmIndex vm, bool draining);
    void moveTasks(base::SteadyTime now);

private:
    bool shouldMove(const TaskRef &ref, base::SteadyTime now) const;

    ZoneState &zone;
    absl::btree_set<VmIndex> draining;
    base::SteadyTime nextRunAt;
};

} // namespace cranberryreel::policy
