#pragma once

#include "cell/AdviceBook.h"
#include "cell/CellState.h"
#include "cell/TaskKey.h"
#include "cell/UpstreamTracker.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace cranberryreel::cell
{

/// What the leading scheduler knows of a run, as far as plans ask for it.
struct RunView {
    bool stopping = false;
    bool settled = false; ///< Its upstream runs it, and nothing is under way for it.
    int percent = 0; ///< Of its work.
};

/// What a plan is made from.
struct PlanInput {
    const CellState &state;
    const std::map<std::uint64_t, UpstreamTracker> &lives;
    AdviceBook &advice;
    const std::map<TaskKey, std::set<std::uint64_t>> &failedAt; ///< Upstreams on which a task has failed.
    const std::map<std::uint64_t, base::SteadyTime> &acceptedAt; ///< When each open job was accepted, as far as this leader knows.
    base::SteadyTime now;
    std::function<RunView(const RunKey &)> viewRun = nullptr; ///< Without it nothing is preempted.
};

} // namespace cranberryreel::cell
