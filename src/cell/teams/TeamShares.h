#pragma once

#include "cell/planning/Capacity.h"
#include "cell/teams/TeamUse.h"
#include "policy/FairShares.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cranberryreel::cell::teams
{

/// The dominant shares of the teams, and of the overdue work of each team, computed by policy::FairShares. A team is known by its index in the list that the
/// shares were made from. Load pattern: some teams send several times their usual load at once; by arrival or by size their work would crowd out that of the
/// others. Owned by whoever orders or reports a plan. Not thread-safe.
class TeamShares
{
public:
    /// What a team's work belongs to.
    enum class Lane : std::uint8_t {
        Timely, ///< Most work.
        Overdue ///< Work that is long overdue; it counts as the team's as well, and has a tenth of the team's weight.
    };
    static constexpr std::size_t LaneCount = 2;

    TeamShares(const std::vector<TeamUse> &teams, const planning::Capacity &total);

    /// Counts so many tasks of the step as running.
    void add(std::size_t team, Lane lane, const wire::StepT &step, std::uint32_t tasks);

    /// Counts tasks that run, and are part of the team's use already, as overdue work.
    void addRunningOverdue(std::size_t team, const wire::StepT &step);

    /// The largest part of any resource of the cell that the team has running.
    double shareOf(std::size_t team) const;

    /// The share over the weight; work with the least is served first.
    double weightedShareOf(std::size_t team, Lane lane = Lane::Timely) const;

private:
    policy::PartnerIndex partnerOf(std::size_t team, Lane lane) const;

    policy::FairShares shares;
    std::vector<policy::PartnerIndex> partners; ///< LaneCount entries for each team.
};

} // namespace cranberryreel::cell::teams
