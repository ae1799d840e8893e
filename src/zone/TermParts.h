#pragma once

#include "policy/Planner.h"
#include "zone/ChangeBatch.h"
#include "zone/JobTable.h"
#include "zone/PlacedIndex.h"
#include "zone/SchedulerContext.h"
#include "zone/UpstreamFleet.h"

#include <functional>

namespace cranberryreel::zone
{

/// The parts of one term that the others work with. All live as long as the term and are touched by the scheduler's thread only.
struct TermParts {
    SchedulerContext &context;
    policy::Planner &planner;
    JobTable &jobs;
    UpstreamFleet &fleet;
    ChangeBatch &changes;
    PlacedIndex &placed;
    std::function<void()> wantPump; ///< Plan again soon.

    /// The task, while `number` is its current attempt; null once the job or the attempt is gone.
    ActiveTask *attempt(const model::JobId &id, std::uint32_t index, std::uint32_t number);
};

/// A step of the task's current attempt, to be proposed.
TaskChange changeOf(const ActiveJob &job, std::uint32_t index, TaskChangeKind kind);

/// True while the upstream may run the task, or be about to.
bool isUp(TaskStage stage);

} // namespace cranberryreel::zone
