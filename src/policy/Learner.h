#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/JobEntry.h"
#include "policy/Planner.h"
#include "policy/ZoneState.h"

namespace cranberryreel::policy
{

/// Updates the work model and the upstream health from the ends of tasks. Owned by the planner; used by its thread only.
class Learner
{
public:
    explicit Learner(ZoneState &zoneState)
        : zone(zoneState)
    {
    }

    /// Call before the task's reservation is released.
    void learnFromEnd(const JobEntry &job, const TaskEntry &task, TaskEnd end, base::SteadyTime now);

private:
    void learnFromFailure(const JobEntry &job, const TaskEntry &task, base::SteadyTime now);

    ZoneState &zone;
};

} // namespace cranberryreel::policy
