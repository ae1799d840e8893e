#pragma once

#include "cell/planning/DeadlineEstimator.h"
#include "cell/planning/ExpectedSpeeds.h"
#include "cell/planning/PlacementCandidate.h"
#include "cell/planning/PlacementRules.h"
#include "cell/planning/PlanInput.h"
#include "cell/planning/ReleaseForecast.h"
#include "cell/planning/ServicePool.h"
#include "cell/planning/SpeedPreference.h"
#include "cell/planning/UpstreamCapacity.h"

#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell::planning
{

/// Applies speeds to the placement of one plan: which upstreams a step prefers, and which fast ones it must leave to urgent work. Where speeds are equal or not
/// considered, it changes nothing. Load pattern: see SpeedPreference. Not thread-safe; owned by the Planner, made anew for each plan.
class SpeedPlacement
{
public:
    /// Adds the fast capacity to the pools of services with uneven upstreams, and records the present use of urgent work.
    SpeedPlacement(const PlanInput &planInput, CapacityTable &capacities, std::map<std::string, ServicePool> &pools);

    const ExpectedSpeeds &expectedSpeeds() const
    {
        return this->expected;
    }

    SpeedPreference preferenceFor(const ReadyStep &ready, const ServicePool &pool) const;

    /// The rank of the upstream for the step with this preference; `offRack` tells that it is not on the step's rack.
    int rankOf(const SpeedPreference &preference, const UpstreamCapacity &capacity, bool offRack) const;

    /// Ranks the step's candidates by speed, reduces those of a gang to upstreams of similar speed, and removes slower ones where it is better to wait for fast
    /// ones.
    std::vector<PlacementCandidate>
    select(const ReadyStep &ready, const ServicePool &pool, const PlacementRules &rules, std::vector<PlacementCandidate> candidates);

private:
    void addUrgentUse(CapacityTable &capacities, std::map<std::string, ServicePool> &pools) const;

    bool waitsForFast(const ReadyStep &ready,
                      const ServicePool &pool,
                      const PlacementRules &rules,
                      const SpeedPreference &preference,
                      const std::vector<PlacementCandidate> &candidates);

    const PlanInput &input;
    ExpectedSpeeds expected;
    const DeadlineEstimator deadlines;
    ReleaseForecast releases;
    std::map<std::string, std::size_t> waitingForFast; ///< Tasks that wait for fast capacity, by service.
};

/// The fast capacity of the pool if the upstream is part of it and the step must leave some of it to urgent work; null otherwise.
const FastCapacity *keptForUrgent(const ReadyStep &ready, const ServicePool &pool, const UpstreamCapacity &capacity);

} // namespace cranberryreel::cell::planning
