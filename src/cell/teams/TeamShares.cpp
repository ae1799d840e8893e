#include "cell/teams/TeamShares.h"

#include <algorithm>

namespace cranberryreel::cell::teams
{

namespace
{

/// Overdue work is worth nothing to its submitter, so what it takes is lost to work that is still worth something. With a tenth of its team's weight, that loss
/// stays below the usual spread of task durations (0.15 to 0.3 of the mean), and a team with any capacity at all always has some overdue work running.
constexpr double OverdueWeightShare = 0.1;

/// Weights may be 0; such a team is served once all others have what they want.
constexpr double MinWeight = 1e-9;

policy::Demand toDemand(const planning::Capacity &capacity)
{
    return {{capacity.cpuMillis, capacity.memoryMib, capacity.accelerators}, 0};
}

policy::Demand toDemand(const wire::StepT &step, std::uint32_t tasks)
{
    return policy::Demand{{step.cpu_millis, step.memory_mib, step.accelerators}, 0}.multipliedBy(tasks);
}

} // namespace

TeamShares::TeamShares(const std::vector<TeamUse> &teams, const planning::Capacity &total)
{
    std::vector<policy::PartnerView> rules;
    for (std::size_t team = 0; team < teams.size(); ++team) {
        // Numbers instead of the teams' names, since the lanes need distinct names as well.
        const std::string name = std::to_string(team);
        const double weight = std::max(teams[team].weight, MinWeight);
        rules.push_back({name, weight, {}, {}, true});
        rules.push_back({name + ".overdue", OverdueWeightShare * weight, name, {}, true});
        for (auto rule = rules.end() - LaneCount; rule != rules.end(); ++rule) {
            this->partners.push_back(this->shares.findOrAddPartner(rule->partner));
        }
    }
    this->shares.setRules(rules);
    for (std::size_t team = 0; team < teams.size(); ++team) {
        this->shares.addUsed(this->partnerOf(team, Lane::Timely), toDemand(teams[team].running));
    }
    this->shares.refresh(toDemand(total), base::SteadyTime());
}

policy::PartnerIndex TeamShares::partnerOf(std::size_t team, Lane lane) const
{
    return this->partners[team * LaneCount + static_cast<std::size_t>(lane)];
}

void TeamShares::add(std::size_t team, Lane lane, const wire::StepT &step, std::uint32_t tasks)
{
    this->shares.addUsed(this->partnerOf(team, lane), toDemand(step, tasks));
}

void TeamShares::addRunningOverdue(std::size_t team, const wire::StepT &step)
{
    this->shares.removeUsed(this->partnerOf(team, Lane::Timely), toDemand(step, 1));
    this->shares.addUsed(this->partnerOf(team, Lane::Overdue), toDemand(step, 1));
}

double TeamShares::shareOf(std::size_t team) const
{
    return this->shares.usedShare(this->partnerOf(team, Lane::Timely));
}

double TeamShares::weightedShareOf(std::size_t team, Lane lane) const
{
    const policy::PartnerIndex partner = this->partnerOf(team, lane);
    return this->shares.usedShare(partner) / this->shares.at(partner).weight;
}

} // namespace cranberryreel::cell::teams
