#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Ids.h"
#include "policy/ZoneState.h"

#include <absl/container/btree_set.h>

namespace cranberryreel::policy
{

/// Moves work off VMs that are draining: services one task of a job at a time, once there is room for it elsewhere; batch tasks that would run on for long.
/// Requests and gangs run to their end. Owned by the planner.
class Drainer
{
public:
    explicit Drainer(ZoneState &zoneState)
        : zone(zoneState)
    {
    }

    void setDraining(VmIndex vm, bool draining);
    void move(base::SteadyTime now);

private:
    bool shouldMove(const TaskRef &ref, base::SteadyTime now) const;

    ZoneState &zone;
    absl::btree_set<VmIndex> draining;
    base::SteadyTime nextAt;
};

} // namespace cranberryreel::policy
