#pragma once

#include "cell/CellState.h"
#include "cell/TaskKey.h"

#include <cstdint>
#include <vector>

namespace cranberryreel::cell
{

/// A step whose turn has come and that has tasks to place.
struct ReadyStep {
    StepKey key;
    const wire::JobT *job = nullptr;
    const wire::StepT *step = nullptr;
    const wire::StepStateT *state = nullptr;
    const wire::QueueT *queue = nullptr; ///< Null when the rules no longer name it.
    std::vector<std::uint32_t> waiting; ///< Tasks that are not done and have no run.
};

/// Of a queue of priority 0.
bool isUrgent(const ReadyStep &ready);

/// All steps with work to place, in the order of acceptance. A gang counts only when none of its tasks runs any more, since its tasks start together.
std::vector<ReadyStep> readySteps(const CellState &state);

} // namespace cranberryreel::cell
