#include "cell/planning/DeadlineEstimator.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace cranberryreel::cell::planning
{

namespace
{

using std::chrono::milliseconds;

/// Missed work is worth nothing, so it yields to all other work, but its submitter still waits for it to end. LateLimitFactor times the objective is the
/// longest delay that submitters accept for a result of any worth; after as long again the job counts as overdue, and yields no more.
constexpr int OverdueFactor = 2 * LateLimitFactor;
/// By the platform's credit rules, the objective includes one advice query about this many upstreams for each step.
constexpr std::uint64_t UpstreamsPerObjectiveQuery = 30;
constexpr std::uint64_t MicrosecondsPerMillisecond = 1000;
/// A speed below this is an error of the estimate; it bounds run times.
constexpr double MinSpeed = 0.01;

/// The time of one advice query; part of a step's time.
milliseconds queryTime(const wire::QueueT &queue)
{
    return milliseconds(queue.advice ? (queue.advice->decision_us + UpstreamsPerObjectiveQuery * queue.advice->per_upstream_us) / MicrosecondsPerMillisecond
                                     : 0);
}

/// The time of the longest chain of dependent steps, where stepTime(s) is that of one step.
template<typename StepTime>
milliseconds criticalPathTime(const wire::JobSpecT &spec, StepTime stepTime)
{
    const auto &steps = spec.steps;
    std::vector<milliseconds> finishTimes(steps.size(), milliseconds(0));
    for (std::size_t s = 0; s < steps.size(); ++s) {
        for (const std::uint32_t earlier : steps[s]->after) {
            finishTimes[s] = std::max(finishTimes[s], finishTimes[earlier]);
        }
        finishTimes[s] += stepTime(s);
    }
    return *std::max_element(finishTimes.begin(), finishTimes.end());
}

} // namespace

milliseconds unqueuedTime(const wire::JobSpecT &spec, const wire::QueueT &queue)
{
    return criticalPathTime(spec, [&](std::size_t s) { return milliseconds(spec.steps[s]->estimate_ms) + queryTime(queue); });
}

milliseconds latencyObjective(const wire::JobSpecT &spec, const wire::QueueT &queue)
{
    return std::chrono::duration_cast<milliseconds>(queue.slack * unqueuedTime(spec, queue)) + milliseconds(queue.target_latency_ms);
}

bool isDone(const wire::StepStateT &step)
{
    return std::all_of(step.tasks.begin(), step.tasks.end(), [](const std::unique_ptr<wire::TaskT> &task) { return task->done; });
}

DeadlineEstimator::DeadlineEstimator(const std::map<std::uint64_t, base::SteadyTime> &acceptedAt,
                                     base::SteadyTime currentTime,
                                     const ExpectedSpeeds *expectedSpeeds)
    : acceptanceTimes(acceptedAt)
    , now(currentTime)
    , speeds(expectedSpeeds)
{
}

/// The run time of the step's tasks that are not done, each at its own speed; the estimated run time where speeds are not considered.
milliseconds DeadlineEstimator::remainingRunTime(const wire::StepT &step, const wire::StepStateT &state, const wire::QueueT &queue) const
{
    const milliseconds estimate(step.estimate_ms);
    if (this->speeds == nullptr || this->speeds->source == nullptr) {
        return estimate;
    }
    double slowest = std::numeric_limits<double>::max();
    bool waiting = false;
    for (const auto &task : state.tasks) {
        waiting = waiting || (!task->done && task->runs.empty());
        if (!task->done && !task->runs.empty()) {
            slowest = std::min(slowest, this->speeds->ofRunOn(task->runs.front()->upstream));
        }
    }
    slowest = waiting ? std::min(slowest, this->speeds->ofWaiting(queue)) : slowest;
    return std::chrono::duration_cast<milliseconds>(estimate / std::max(slowest, MinSpeed));
}

/// The time of the longest chain of the steps that are not done.
milliseconds DeadlineEstimator::remainingTime(const wire::JobT &job, std::uint32_t occurrence, const wire::QueueT &queue) const
{
    const auto &states = job.occurrences[occurrence]->steps;
    return criticalPathTime(*job.spec, [&](std::size_t s) {
        return isDone(*states[s]) ? milliseconds(0) : this->remainingRunTime(*job.spec->steps[s], *states[s], queue) + queryTime(queue);
    });
}

std::optional<DeadlineEstimator::Estimate> DeadlineEstimator::estimate(const wire::JobT &job, std::uint32_t occurrence, const wire::QueueT *queue) const
{
    const auto acceptance = this->acceptanceTimes.find(job.number);
    const auto isLasting = [](const std::unique_ptr<wire::StepT> &step) { return step->lasting; };
    const auto &steps = job.spec->steps;
    if (queue == nullptr || acceptance == this->acceptanceTimes.end() || job.spec->times > 0 || std::any_of(steps.begin(), steps.end(), isLasting)) {
        return std::nullopt;
    }
    const milliseconds objective = latencyObjective(*job.spec, *queue);
    const auto end = std::chrono::duration_cast<milliseconds>(this->now - acceptance->second) + this->remainingTime(job, occurrence, *queue);
    if (end <= objective) {
        return Estimate{Timeliness::OnTime, false, objective - end};
    }
    if (end <= LateLimitFactor * objective) {
        return Estimate{Timeliness::Late, false, LateLimitFactor * objective - end};
    }
    return Estimate{Timeliness::Missed, end > OverdueFactor * objective, milliseconds::max()};
}

} // namespace cranberryreel::cell::planning
