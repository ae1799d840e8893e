#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Demand.h"

#include <chrono>

namespace cranberryreel::policy
{

/// How much room should stay open for requests that are about to come: what they held at their recent peak, less what they hold now. Owned by the planner.
class RequestHeadroom
{
public:
    void observe(const Demand &heldByRequests, base::SteadyTime now);

    /// Never more than a fixed part of the zone.
    Demand wanted(const Demand &heldByRequests, const Demand &zoneTotal) const;

private:
    Demand peakNow;
    Demand peakBefore;
    base::SteadyTime windowBegan;
};

} // namespace cranberryreel::policy
