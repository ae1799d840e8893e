#pragma once

#include "cell/planning/ReadySteps.h"
#include "cell/teams/TeamLedger.h"
#include "cell/teams/TeamShares.h"

#include <cstddef>
#include <vector>

namespace cranberryreel::cell::teams
{

/// Interleaves the waiting steps of several teams that are equal in rate, priority and timeliness. The team with the least weighted share is next; the demand
/// of a step counts as soon as the step has its place, as far as the team's quota leaves it. A wide step takes its turns in portions.
/// Load pattern: several teams send many times their usual load at once, in wide steps or narrow ones. One round through the teams for each step would favour
/// wide steps, and shares as they were before the plan would give all free capacity to one team. With steps as wide as the cell placed whole, other teams
/// waited 11 s in a simulation of 12 s. Owned by the WaitingOrder, for one plan.
class TeamTurns
{
public:
    TeamTurns(const TeamLedger &teamLedger, TeamShares &teamShares);

    /// `steps` holds the steps of one group in the order in which each team wants them; appends them to `order` as they are served.
    void interleave(const std::vector<planning::ReadyStep *> &steps, std::vector<planning::ReadyStep> &order);

private:
    /// The waiting steps of one lane of one team.
    struct Line {
        std::size_t team = 0;
        TeamShares::Lane lane = TeamShares::Lane::Timely;
        std::vector<planning::ReadyStep *> steps;
        std::size_t next = 0;
    };

    struct Turn {
        double weightedShare = 0;
        Line *line = nullptr;

        bool operator>(const Turn &other) const;
    };

    std::vector<Line> linesOf(const std::vector<planning::ReadyStep *> &steps) const;
    Turn turnOf(Line &line) const;
    std::size_t portionSize(const planning::ReadyStep &ready) const;
    planning::ReadyStep takePortion(Line &line) const;

    const TeamLedger &ledger;
    TeamShares &shares;
};

} // namespace cranberryreel::cell::teams
