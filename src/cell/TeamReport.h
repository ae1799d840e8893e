#pragma once

#include "cell/CellState.h"
#include "cell/planning/Planner.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// Reports what a plan gave each team, for operators who are asked why a team waits: metrics of all teams, and a log line for each team with waiting steps that
/// tells what its first step waits for and the figures that decided. Used by the scheduler's thread only. Owned by the CellTerm.
class TeamReport
{
public:
    TeamReport() = default;
    TeamReport(const TeamReport &) = delete;
    TeamReport &operator=(const TeamReport &) = delete;

    /// Resets the metrics: a VM that does not lead has no figures.
    ~TeamReport();

    /// Does nothing where the rules have no teams.
    void record(const planning::Plan &plan, const CellState &state);

private:
    /// The waiting steps of one team.
    struct Waiting {
        const planning::WaitingStep *first = nullptr; ///< In the order in which steps are served.
        std::size_t tasks = 0;
        std::size_t quotaTasks = 0; ///< Of steps that wait for the quota.
    };

    static std::map<std::string, Waiting> waitingByTeam(const planning::Plan &plan, const CellState &state);
};

} // namespace cranberryreel::cell
