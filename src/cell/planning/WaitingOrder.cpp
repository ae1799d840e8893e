#include "cell/planning/WaitingOrder.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace cranberryreel::cell::planning
{

namespace
{

std::int64_t remainingWorkOf(const ReadyStep &ready)
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
    return std::tie(this->priority, this->timeliness, this->remainingWork, this->key)
        < std::tie(other.priority, other.timeliness, other.remainingWork, other.key);
}

WaitingOrder::WaitingOrder(const std::map<std::uint64_t, base::SteadyTime> &acceptedAt, base::SteadyTime now, const ExpectedSpeeds *speeds)
    : deadlines(acceptedAt, now, speeds)
{
}

WaitingOrder::Rank WaitingOrder::rankOf(const ReadyStep &ready)
{
    Rank rank;
    rank.key = ready.key;
    rank.priority = ready.queue == nullptr ? std::numeric_limits<int>::max() : ready.queue->priority;
    const auto estimate = this->deadlines.estimate(*ready.job, ready.key.occurrence, ready.queue);
    if (!estimate) {
        return rank;
    }
    rank.timeliness = estimate->timeliness;
    rank.remainingWork = remainingWorkOf(ready);
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
    for (const auto &[rank, index] : ranks) {
        sorted.push_back(std::move(ready[index]));
    }
    ready = std::move(sorted);
}

} // namespace cranberryreel::cell::planning
