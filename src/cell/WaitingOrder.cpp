#include "cell/WaitingOrder.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace cranberryreel::cell
{

namespace
{

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
    : outlook(acceptedAt, at)
{
}

WaitingOrder::Rank WaitingOrder::rankOf(const ReadyStep &ready)
{
    Rank rank;
    rank.key = ready.key;
    rank.priority = ready.queue == nullptr ? std::numeric_limits<int>::max() : ready.queue->priority;
    const auto times = this->outlook.of(*ready.job, ready.key.occurrence, ready.queue);
    if (!times) {
        return rank;
    }
    rank.hope = times->hope;
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
