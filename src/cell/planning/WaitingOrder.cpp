#include "cell/planning/WaitingOrder.h"

#include "cell/planning/UpstreamCapacity.h"
#include "cell/teams/TeamTurns.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

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
    return std::tie(this->beyondRate, this->priority, this->timeliness, this->remainingWork, this->key)
        < std::tie(other.beyondRate, other.priority, other.timeliness, other.remainingWork, other.key);
}

bool WaitingOrder::Rank::isSameGroup(const Rank &other) const
{
    return std::tie(this->beyondRate, this->priority, this->timeliness) == std::tie(other.beyondRate, other.priority, other.timeliness);
}

WaitingOrder::WaitingOrder(const std::map<std::uint64_t, base::SteadyTime> &acceptedAt,
                           base::SteadyTime now,
                           const teams::TeamLedger *teamLedger,
                           const ExpectedSpeeds *speeds)
    : ledger(teamLedger)
    , deadlines(acceptedAt, now, speeds)
{
}

/// Without any work of a team, the order is the same as in a cell without teams.
bool WaitingOrder::teamsCompete(const std::vector<ReadyStep> &ready) const
{
    return this->ledger != nullptr && this->ledger->hasTeams()
        && std::any_of(ready.begin(), ready.end(), [](const ReadyStep &each) { return !each.job->spec->team.empty(); });
}

WaitingOrder::Rank WaitingOrder::rankOf(const ReadyStep &ready) const
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

/// Overdue work is served oldest first, so that each of it is served at last.
void WaitingOrder::rankOverdue(ReadyStep &ready, Rank &rank) const
{
    if (rank.timeliness != Timeliness::Missed || !this->deadlines.estimate(*ready.job, ready.key.occurrence, ready.queue)->overdue) {
        return;
    }
    ready.overdue = true;
    rank.timeliness = Timeliness::OnTime;
    rank.remainingWork = 0;
}

/// The shares of what runs now.
teams::TeamShares WaitingOrder::currentShares() const
{
    teams::TeamShares shares(this->ledger->uses(), this->ledger->total());
    const CellState &state = this->ledger->cellState();
    std::pair<std::uint64_t, std::uint32_t> lastOccurrence;
    bool overdue = false;
    forEachRun(state, [&](const wire::RunT &, const wire::StepT &step, const wire::JobT &job, const TaskKey &task) {
        const std::pair<std::uint64_t, std::uint32_t> occurrence{task.step.job, task.step.occurrence};
        if (std::exchange(lastOccurrence, occurrence) != occurrence) {
            const auto estimate = this->deadlines.estimate(job, task.step.occurrence, state.queueOf(*job.spec));
            overdue = estimate && estimate->overdue;
        }
        if (overdue) {
            shares.addRunningOverdue(this->ledger->teamIndexOf(job.spec->team), step);
        }
    });
    return shares;
}

std::vector<ReadyStep> WaitingOrder::interleaveTeams(const std::vector<RankedStep> &ranked) const
{
    teams::TeamShares shares = this->currentShares();
    teams::TeamTurns turns(*this->ledger, shares);
    std::vector<ReadyStep> order;
    order.reserve(ranked.size());
    for (auto first = ranked.begin(); first != ranked.end();) {
        std::vector<ReadyStep *> group;
        const auto &groupRank = first->first;
        for (; first != ranked.end() && first->first.isSameGroup(groupRank); ++first) {
            group.push_back(first->second);
        }
        turns.interleave(group, order);
    }
    return order;
}

void WaitingOrder::sort(std::vector<ReadyStep> &ready)
{
    const bool byTeams = this->teamsCompete(ready);
    std::vector<RankedStep> ranked;
    ranked.reserve(ready.size());
    for (ReadyStep &each : ready) {
        ranked.emplace_back(this->rankOf(each), &each);
        ranked.back().first.beyondRate = byTeams && isBeyondRate(each);
        if (byTeams) {
            this->rankOverdue(each, ranked.back().first);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedStep &left, const RankedStep &right) { return left.first < right.first; });
    std::vector<ReadyStep> sorted;
    if (byTeams) {
        sorted = this->interleaveTeams(ranked);
    } else {
        sorted.reserve(ready.size());
        for (const auto &[rank, step] : ranked) {
            sorted.push_back(std::move(*step));
        }
    }
    ready = std::move(sorted);
}

} // namespace cranberryreel::cell::planning
