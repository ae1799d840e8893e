#include "cell/JobOutlook.h"

#include <algorithm>
#include <vector>

namespace cranberryreel::cell
{

namespace
{

using std::chrono::milliseconds;

/// A job that ends later than this many times its objective is worth nothing to its submitter (the platform's rules of credit).
constexpr int LateFactor = 3;
/// The objective allows each step one question about so many upstreams (the platform's rules of credit).
constexpr std::uint64_t QuestionedAtOnce = 30;
constexpr std::uint64_t MicrosecondsEach = 1000; // Millisecond.

/// The time that one step takes where everything has room.
milliseconds timeOf(const wire::StepT &step, const wire::QueueT &queue)
{
    const std::uint64_t question = queue.advice ? (queue.advice->decision_us + QuestionedAtOnce * queue.advice->per_upstream_us) / MicrosecondsEach : 0;
    return milliseconds(step.estimate_ms + question);
}

/// The longest chain of steps; of those that are not done only, when `left`.
milliseconds chainOf(const wire::JobT &job, std::uint32_t occurrence, const wire::QueueT &queue, bool left)
{
    const auto &steps = job.spec->steps;
    const auto &states = job.occurrences[occurrence]->steps;
    std::vector<milliseconds> endOf(steps.size(), milliseconds(0));
    for (std::size_t s = 0; s < steps.size(); ++s) {
        for (const std::uint32_t earlier : steps[s]->after) {
            endOf[s] = std::max(endOf[s], endOf[earlier]);
        }
        endOf[s] += left && isDone(*states[s]) ? milliseconds(0) : timeOf(*steps[s], queue);
    }
    return *std::max_element(endOf.begin(), endOf.end());
}

} // namespace

bool isDone(const wire::StepStateT &step)
{
    return std::all_of(step.tasks.begin(), step.tasks.end(), [](const std::unique_ptr<wire::TaskT> &task) { return task->done; });
}

JobOutlook::JobOutlook(const std::map<std::uint64_t, base::SteadyTime> &acceptedAt, base::SteadyTime at)
    : accepted(acceptedAt)
    , now(at)
{
}

std::optional<JobOutlook::Times> JobOutlook::of(const wire::JobT &job, std::uint32_t occurrence, const wire::QueueT *queue) const
{
    const auto since = this->accepted.find(job.number);
    const auto lasts = [](const std::unique_ptr<wire::StepT> &step) { return step->lasting; };
    const auto &steps = job.spec->steps;
    if (queue == nullptr || since == this->accepted.end() || job.spec->times > 0 || std::any_of(steps.begin(), steps.end(), lasts)) {
        return std::nullopt;
    }
    const auto objective =
        std::chrono::duration_cast<milliseconds>(queue->slack * chainOf(job, occurrence, *queue, false)) + milliseconds(queue->target_latency_ms);
    const auto end = std::chrono::duration_cast<milliseconds>(this->now - since->second) + chainOf(job, occurrence, *queue, true);
    if (end <= objective) {
        return Times{Hope::InTime, objective - end};
    }
    if (end <= LateFactor * objective) {
        return Times{Hope::Late, LateFactor * objective - end};
    }
    return Times{Hope::None, milliseconds::max()};
}

} // namespace cranberryreel::cell
