#include "cell/planning/DeadlineEstimator.h"

#include <algorithm>
#include <vector>

namespace cranberryreel::cell::planning
{

namespace
{

using std::chrono::milliseconds;

/// By the platform's credit rules, the objective includes one advice query about this many upstreams for each step.
constexpr std::uint64_t UpstreamsPerObjectiveQuery = 30;
constexpr std::uint64_t MicrosecondsPerMillisecond = 1000;

/// The time that one step takes when it never waits for capacity: its advice query and its estimated run time.
milliseconds unqueuedStepTime(const wire::StepT &step, const wire::QueueT &queue)
{
    const std::uint64_t queryTime =
        queue.advice ? (queue.advice->decision_us + UpstreamsPerObjectiveQuery * queue.advice->per_upstream_us) / MicrosecondsPerMillisecond : 0;
    return milliseconds(step.estimate_ms + queryTime);
}

/// The time of the longest chain of dependent steps, without the steps for which `isSkipped(index)` holds.
template<typename IsSkipped>
milliseconds criticalPathTime(const wire::JobSpecT &spec, const wire::QueueT &queue, IsSkipped isSkipped)
{
    const auto &steps = spec.steps;
    std::vector<milliseconds> finishTimes(steps.size(), milliseconds(0));
    for (std::size_t s = 0; s < steps.size(); ++s) {
        for (const std::uint32_t earlier : steps[s]->after) {
            finishTimes[s] = std::max(finishTimes[s], finishTimes[earlier]);
        }
        finishTimes[s] += isSkipped(s) ? milliseconds(0) : unqueuedStepTime(*steps[s], queue);
    }
    return *std::max_element(finishTimes.begin(), finishTimes.end());
}

} // namespace

milliseconds unqueuedTime(const wire::JobSpecT &spec, const wire::QueueT &queue)
{
    return criticalPathTime(spec, queue, [](std::size_t) { return false; });
}

milliseconds latencyObjective(const wire::JobSpecT &spec, const wire::QueueT &queue)
{
    return std::chrono::duration_cast<milliseconds>(queue.slack * unqueuedTime(spec, queue)) + milliseconds(queue.target_latency_ms);
}

bool isDone(const wire::StepStateT &step)
{
    return std::all_of(step.tasks.begin(), step.tasks.end(), [](const std::unique_ptr<wire::TaskT> &task) { return task->done; });
}

DeadlineEstimator::DeadlineEstimator(const std::map<std::uint64_t, base::SteadyTime> &acceptedAt, base::SteadyTime currentTime)
    : acceptanceTimes(acceptedAt)
    , now(currentTime)
{
}

std::optional<DeadlineEstimator::Estimate> DeadlineEstimator::estimate(const wire::JobT &job, std::uint32_t occurrence, const wire::QueueT *queue) const
{
    const auto acceptance = this->acceptanceTimes.find(job.number);
    const auto isLasting = [](const std::unique_ptr<wire::StepT> &step) { return step->lasting; };
    const auto &steps = job.spec->steps;
    if (queue == nullptr || acceptance == this->acceptanceTimes.end() || job.spec->times > 0 || std::any_of(steps.begin(), steps.end(), isLasting)) {
        return std::nullopt;
    }
    const auto objective = latencyObjective(*job.spec, *queue);
    const auto &states = job.occurrences[occurrence]->steps;
    const auto remaining = criticalPathTime(*job.spec, *queue, [&states](std::size_t s) { return isDone(*states[s]); });
    const auto end = std::chrono::duration_cast<milliseconds>(this->now - acceptance->second) + remaining;
    if (end <= objective) {
        return Estimate{Timeliness::OnTime, objective - end};
    }
    if (end <= LateLimitFactor * objective) {
        return Estimate{Timeliness::Late, LateLimitFactor * objective - end};
    }
    return Estimate{Timeliness::Missed, milliseconds::max()};
}

} // namespace cranberryreel::cell::planning
