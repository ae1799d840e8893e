#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/JobEntry.h"
#include "policy/Planner.h"
#include "policy/ZoneState.h"

namespace cranberryreel::policy
{

/// Turns the ends of tasks into what is known of their names and of the upstreams they ran on. Owned by the planner.
class Learner
{
public:
    explicit Learner(ZoneState &zoneState)
        : zone(zoneState)
    {
    }

    /// Call before the task's reservation is given back.
    void ended(const JobEntry &job, const TaskEntry &task, TaskEnd end, base::SteadyTime now);

private:
    void failed(const JobEntry &job, const TaskEntry &task, base::SteadyTime now);

    ZoneState &zone;
};

} // namespace cranberryreel::policy
