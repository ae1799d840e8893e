#include "cell/WaitingOrder.h"

#include <algorithm>
#include <limits>
#include <tuple>

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

bool isDone(const wire::StepStateT &step)
{
    return std::all_of(step.tasks.begin(), step.tasks.end(), [](const std::unique_ptr<wire::TaskT> &task) { return task->done; });
}

/// The time that one step takes where everything has room.
milliseconds timeOf(const wire::StepT &step, const wire::QueueT &queue)
{
    const std::uint64_t question = queue.advice ? (queue.advice->decision_us + QuestionedAtOnce * queue.advice->per_upstream_us) / MicrosecondsEach : 0;
    return milliseconds(step.estimate_ms + question);
}

/// The longest chain of steps; of those that are not done only, when `left`.
milliseconds chainOf(const ReadyStep &ready, bool left)
{
    const auto &steps = ready.job->spec->steps;
    const auto &states = ready.job->occurrences[ready.key.occurrence]->steps;
    std::vector<milliseconds> endOf(steps.size(), milliseconds(0));
    for (std::size_t s = 0; s < steps.size(); ++s) {
        for (const std::uint32_t earlier : steps[s]->after) {
            endOf[s] = std::max(endOf[s], endOf[earlier]);
        }
        endOf[s] += left && isDone(*states[s]) ? milliseconds(0) : timeOf(*steps[s], *ready.queue);
    }
    return *std::max_element(endOf.begin(), endOf.end());
}

std::int64_t workLeftOf(const ReadyStep &ready)
{
    const auto &steps = ready.job->spec->steps;
    const auto &states = ready.job->occurrences[ready.key.occurrence]->steps;
    std::int64_t work = 0;
    for (std::size_t s = 0; s < steps.size(); ++s) {
        for (const auto &task : states[s]->tasks) {
            work += task->done ? 0 : static_cast<std::int64_t>(steps[s]->cpu_millis) * steps[s]->estimate_ms;
        }
    }
    return work;
}

} // namespace

bool WaitingOrder::Rank::operator<(const Rank &other) const
{
    return std::tie(this->priority, this->hope, this->workLeft, this->key) < std::tie(other.priority, other.hope, other.workLeft, other.key);
}

WaitingOrder::WaitingOrder(const std::map<std::uint64_t, base::SteadyTime> &acceptedAt, base::SteadyTime at)
    : accepted(acceptedAt)
    , now(at)
{
}

WaitingOrder::Rank WaitingOrder::rankOf(const ReadyStep &ready)
{
    Rank rank;
    rank.key = ready.key;
    rank.priority = ready.queue == nullptr ? std::numeric_limits<int>::max() : ready.queue->priority;
    const auto since = this->accepted.find(ready.key.job);
    // A task that lasts has no end to be in time for, and the age of an occurrence does not begin with its job's acceptance.
    if (ready.queue == nullptr || ready.step->lasting || ready.job->spec->times > 0 || since == this->accepted.end()) {
        return rank;
    }
    const auto objective = std::chrono::duration_cast<milliseconds>(ready.queue->slack * chainOf(ready, false)) + milliseconds(ready.queue->target_latency_ms);
    const auto end = this->now - since->second + chainOf(ready, true);
    rank.hope = end <= objective ? Hope::InTime : (end <= LateFactor * objective ? Hope::Late : Hope::None);
    rank.workLeft = workLeftOf(ready);
    return rank;
}

void WaitingOrder::sort(std::vector<ReadyStep> &ready)
{
    std::vector<std::pair<Rank, std::size_t>> ranks;
    ranks.reserve(ready.size());
    for (std::size_t i = 0; i < ready.size(); ++i) {
        ranks.emplace_back(this->rankOf(ready[i]), i);
    }
    std::sort(ranks.begin(), ranks.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<ReadyStep> sorted;
    sorted.reserve(ready.size());
    for (const auto &[rank, at] : ranks) {
        sorted.push_back(std::move(ready[at]));
    }
    ready = std::move(sorted);
}

} // namespace cranberryreel::cell
