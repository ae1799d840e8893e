#include "cell/planning/DeadlineEstimator.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace cranberryreel::cell::planning
{

namespace
{

using std::chrono::milliseconds;

/// A job that ends later than this many times its objective is worth nothing to its submitter, by the platform's credit rules.
constexpr int LateLimitFactor = 3;
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
milliseconds criticalPathTime(const wire::JobT &job, StepTime stepTime)
{
    const auto &steps = job.spec->steps;
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
    return criticalPathTime(job, [&](std::size_t s) {
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
    const milliseconds nominal = criticalPathTime(job, [&](std::size_t s) { return milliseconds(steps[s]->estimate_ms) + queryTime(*queue); });
    const auto objective = std::chrono::duration_cast<milliseconds>(queue->slack * nominal) + milliseconds(queue->target_latency_ms);
    const auto end = std::chrono::duration_cast<milliseconds>(this->now - acceptance->second) + this->remainingTime(job, occurrence, *queue);
    if (end <= objective) {
        return Estimate{Timeliness::OnTime, objective - end};
    }
    if (end <= LateLimitFactor * objective) {
        return Estimate{Timeliness::Late, LateLimitFactor * objective - end};
    }
    return Estimate{Timeliness::Missed, milliseconds::max()};
}

} // namespace cranberryreel::cell::planning
