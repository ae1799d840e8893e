#pragma once

#include "cell/teams/FreedCapacity.h"
#include "cell/teams/JobDemand.h"

#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell::teams
{

/// The load of one service.
struct ServiceCapacity {
    FreedCapacity capacity; ///< Of the usable upstreams.
    double rate = 1; ///< See ServiceRates.
    std::map<int, Amounts> arrivals; ///< Work per millisecond, by queue priority; see ArrivalRates.
};

/// A team's quota and its use. A limit of 0 means no limit.
struct TeamCapacity {
    double weight = 1;
    FreedCapacity quota;
};

/// The load of all services at one time, and what was admitted since. Owned by the AdmissionControl; made by the LoadCollector.
struct LoadSnapshot {
    std::map<std::string, ServiceCapacity> services;
    std::map<std::string, TeamCapacity> teams;
    double meanWeight = 1; ///< Of jobs without a team, or of a team that the rules no longer have.
    std::vector<JobDemand> waiting; ///< One entry for each job with tasks that wait.

    double weightOf(const std::string &team) const
    {
        const auto found = this->teams.find(team);
        return found == this->teams.end() || found->second.weight <= 0 ? this->meanWeight : found->second.weight;
    }
};

} // namespace cranberryreel::cell::teams
