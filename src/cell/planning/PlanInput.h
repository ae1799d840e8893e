#pragma once

#include "cell/AdviceCache.h"
#include "cell/CellState.h"
#include "cell/TaskKey.h"
#include "cell/UpstreamTracker.h"
#include "cell/health/SpeedSource.h"
#include "cell/planning/HoldTerms.h"
#include "cell/planning/UrgentDemand.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace cranberryreel::cell::planning
{

/// The state of a run as known to the leading scheduler, as far as a plan needs it.
struct RunView {
    bool stopping = false; ///< A stop was requested, or the end is on its way into the log.
    bool confirmed = false; ///< The upstream confirmed the run, and neither a stop nor an end is pending.
    int percent = 0; ///< Progress, 0 to 100.
    std::chrono::milliseconds elapsed{0}; ///< Since the upstream confirmed the start.
};

/// The input of one plan. Refers to data of the caller, which must outlive the plan.
struct PlanInput {
    const CellState &state;
    const std::map<std::uint64_t, UpstreamTracker> &trackers; ///< By upstream number.
    AdviceCache &advice;
    const std::map<TaskKey, std::set<std::uint64_t>> &failedUpstreams; ///< Upstreams on which the task failed.
    /// When each open job was accepted, by job number; a job whose acceptance this leader did not see is missing.
    const std::map<std::uint64_t, base::SteadyTime> &acceptedAt;
    base::SteadyTime now;
    std::function<RunView(const RunKey &)> viewRun = nullptr; ///< Returns the state of a run; when empty, nothing is preempted.
    const health::SpeedSource *speeds = nullptr; ///< Null when the cell's settings do not allow placement by speed.
    UrgentDemand *urgentDemand = nullptr; ///< What urgent work used of late; each plan records what it finds. Null: nothing is observed.
    HoldTerms *holdTerms = nullptr; ///< How long large work has reserved upstreams. Null: reservations do not end.
    double farRackFactor = 1.5; ///< How many times longer a task takes when it does not run on its preferred rack.
};

} // namespace cranberryreel::cell::planning
