#include "cell/teams/TeamTurns.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

namespace cranberryreel::cell::teams
{

using planning::ReadyStep;

namespace
{

/// Part of the cell that a step may use for each turn: a fifth of the share of a team where 20 of equal weight compete.
constexpr double PortionShare = 0.01;
/// A step this wide fills the cell; the rest of it is one portion.
constexpr std::uint32_t MaxPortions = 100;

} // namespace

TeamTurns::TeamTurns(const TeamLedger &teamLedger, TeamShares &teamShares)
    : ledger(teamLedger)
    , shares(teamShares)
{
}

/// Overdue work goes first where shares are equal: with nothing of the cell in use, all shares are 0.
bool TeamTurns::Turn::operator>(const Turn &other) const
{
    return std::make_tuple(this->weightedShare, this->line->lane == TeamShares::Lane::Timely, this->line->steps[this->line->next]->key.job)
        > std::make_tuple(other.weightedShare, other.line->lane == TeamShares::Lane::Timely, other.line->steps[other.line->next]->key.job);
}

std::vector<TeamTurns::Line> TeamTurns::linesOf(const std::vector<ReadyStep *> &steps) const
{
    std::vector<Line> lines;
    std::vector<std::size_t> indices; // Of the lines, by team and lane; 0 for none.
    for (ReadyStep *ready : steps) {
        const std::size_t team = this->ledger.teamIndexOf(*ready);
        const auto lane = ready->overdue ? TeamShares::Lane::Overdue : TeamShares::Lane::Timely;
        const std::size_t place = team * TeamShares::LaneCount + static_cast<std::size_t>(lane);
        if (place >= indices.size()) {
            indices.resize(place + 1, 0);
        }
        if (indices[place] == 0) {
            lines.push_back({team, lane, {}, 0});
            indices[place] = lines.size();
        }
        lines[indices[place] - 1].steps.push_back(ready);
    }
    return lines;
}

TeamTurns::Turn TeamTurns::turnOf(Line &line) const
{
    return {this->shares.weightedShareOf(line.team, line.lane), &line};
}

/// How many tasks the next portion of the step has at most.
std::size_t TeamTurns::portionSize(const ReadyStep &ready) const
{
    if (ready.step->gang || ready.portion >= MaxPortions) {
        return ready.waiting.size();
    }
    planning::Capacity unit;
    unit.addShare(this->ledger.total(), PortionShare);
    return std::max<std::uint32_t>(unit.countFitting(*ready.step, static_cast<std::uint32_t>(ready.waiting.size())), 1);
}

/// Takes the next portion of the line's first step.
ReadyStep TeamTurns::takePortion(Line &line) const
{
    ReadyStep &ready = *line.steps[line.next];
    const std::size_t size = this->portionSize(ready);
    if (size >= ready.waiting.size()) {
        ++line.next;
        return std::move(ready);
    }
    const auto end = ready.waiting.begin() + static_cast<std::ptrdiff_t>(size);
    ReadyStep portion{ready.key, ready.job, ready.step, ready.state, ready.queue, {ready.waiting.begin(), end}, ready.overdue, ready.portion, {}};
    ready.waiting.erase(ready.waiting.begin(), end);
    portion.laterTasks = ready.waiting;
    ++ready.portion;
    return portion;
}

void TeamTurns::interleave(const std::vector<ReadyStep *> &steps, std::vector<ReadyStep> &order)
{
    std::vector<Line> lines = this->linesOf(steps);
    std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
    for (Line &line : lines) {
        turns.push(this->turnOf(line));
    }
    while (!turns.empty()) {
        Line &line = *turns.top().line;
        const double before = turns.top().weightedShare;
        turns.pop();
        // Shares only grow meanwhile, so a turn that is out of date comes too early, never too late.
        if (const Turn now = this->turnOf(line); now.weightedShare > before) {
            turns.push(now);
            continue;
        }
        const ReadyStep &portion = order.emplace_back(this->takePortion(line));
        const auto waiting = static_cast<std::uint32_t>(portion.waiting.size());
        this->shares.add(line.team, line.lane, *portion.step, this->ledger.fitting(portion, waiting));
        if (line.next < line.steps.size()) {
            turns.push(this->turnOf(line));
        }
    }
}

} // namespace cranberryreel::cell::teams
