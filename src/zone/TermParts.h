#pragma once

#include "policy/Planner.h"
#include "zone/ChangeBatch.h"
#include "zone/JobTable.h"
#include "zone/PlacementIndex.h"
#include "zone/SchedulerContext.h"
#include "zone/UpstreamFleet.h"

#include <functional>

namespace cranberryreel::zone
{

/// References to the parts of one leader term that other parts use. All parts live as long as the term and are used on the scheduler's thread only.
struct TermParts {
    SchedulerContext &context;
    policy::Planner &planner;
    JobTable &jobs;
    UpstreamFleet &fleet;
    ChangeBatch &changes;
    PlacementIndex &placementIndex;
    std::function<void()> requestPlanning; ///< Causes a planning round soon.

    /// Returns the task if `number` is its current attempt; null if the job was removed or another attempt is current.
    ActiveTask *findAttempt(const model::JobId &id, std::uint32_t index, std::uint32_t number);
};

/// A change of the given kind for the task's current attempt, ready to be proposed.
TaskChange makeTaskChange(const ActiveJob &job, std::uint32_t index, TaskChangeKind kind);

/// True if the upstream may run the task or may receive its start request.
bool mayBeOnUpstream(TaskStage stage);

} // namespace cranberryreel::zone
