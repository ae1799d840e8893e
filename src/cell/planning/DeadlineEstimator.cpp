#include "cell/planning/DeadlineEstimator.h"

#include <algorithm>
#include <vector>

namespace cranberryreel::cell::planning
{

namespace
{

using std::chrono::milliseconds;

/// A job that ends later than this many times its objective is worth nothing to its submitter, by the platform's credit rules.
constexpr int LateLimitFactor = 3;
/// Missed work is worth nothing, so it yields to all other work, but its submitter still waits for it to end. LateLimitFactor times the objective is the
/// longest delay that submitters accept for a result of any worth; after as long again the job counts as overdue, and yields no more.
constexpr int OverdueFactor = 2 * LateLimitFactor;
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

/// The time of the longest chain of dependent steps; `remainingOnly` counts only steps that are not done.
milliseconds criticalPathTime(const wire::JobT &job, std::uint32_t occurrence, const wire::QueueT &queue, bool remainingOnly)
{
    const auto &steps = job.spec->steps;
    const auto &states = job.occurrences[occurrence]->steps;
    std::vector<milliseconds> finishTimes(steps.size(), milliseconds(0));
    for (std::size_t s = 0; s < steps.size(); ++s) {
        for (const std::uint32_t earlier : steps[s]->after) {
            finishTimes[s] = std::max(finishTimes[s], finishTimes[earlier]);
        }
        finishTimes[s] += remainingOnly && isDone(*states[s]) ? milliseconds(0) : unqueuedStepTime(*steps[s], queue);
    }
    return *std::max_element(finishTimes.begin(), finishTimes.end());
}

} // namespace

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
    const auto objective =
        std::chrono::duration_cast<milliseconds>(queue->slack * criticalPathTime(job, occurrence, *queue, false)) + milliseconds(queue->target_latency_ms);
    const auto end = std::chrono::duration_cast<milliseconds>(this->now - acceptance->second) + criticalPathTime(job, occurrence, *queue, true);
    if (end <= objective) {
        return Estimate{Timeliness::OnTime, false, objective - end};
    }
    if (end <= LateLimitFactor * objective) {
        return Estimate{Timeliness::Late, false, LateLimitFactor * objective - end};
    }
    return Estimate{Timeliness::Missed, end > OverdueFactor * objective, milliseconds::max()};
}

} // namespace cranberryreel::cell::planning
