#pragma once

#include "cell/CellState.h"
#include "cell/TaskKey.h"

#include <cstdint>
#include <vector>

namespace cranberryreel::cell::planning
{

/// A step whose predecessors are done and that has tasks to place. Refers to the CellState that it was made from.
struct ReadyStep {
    StepKey key;
    const wire::JobT *job = nullptr;
    const wire::StepT *step = nullptr;
    const wire::StepStateT *state = nullptr;
    const wire::QueueT *queue = nullptr; ///< CellState::queueOf().
    /// Indices of the tasks that are not done and have no run, restarts first; of a portion of a wide step, those of the portion.
    std::vector<std::uint32_t> waiting;
    bool overdue = false; ///< DeadlineEstimator::Estimate::overdue, where the rules have teams; set by WaitingOrder.
    /// Where teams compete, a wide step takes several turns, so that its team does not get all free capacity at once; see teams::TeamTurns.
    std::uint32_t portion = 0; ///< Number of earlier portions of the step.
    std::vector<std::uint32_t> laterTasks{}; ///< Tasks of the later portions.
};

/// True for a step of a queue of priority 0.
bool isUrgent(const ReadyStep &ready);

/// True for a step of a job that was submitted beyond its team's rate. It uses no headroom, reserves nothing and preempts nothing.
bool isBeyondRate(const ReadyStep &ready);

/// Whether the step's runs count as urgent work, which the headroom is for.
bool countsAsUrgent(const ReadyStep &ready);

/// Whether the waiting task lasts and ran before. It only takes again what it had, and its users miss it, so no reserve keeps it from starting: neither the
/// headroom for urgent work nor a reservation for large work.
bool isRestart(const ReadyStep &ready, std::uint32_t task);

/// The number of waiting tasks that are restarts.
std::uint32_t countRestarts(const ReadyStep &ready);

/// All steps with tasks to place, in the order in which their jobs were accepted. A gang is ready only when none of its tasks runs any more, since its tasks
/// start together.
std::vector<ReadyStep> readySteps(const CellState &state);

} // namespace cranberryreel::cell::planning
