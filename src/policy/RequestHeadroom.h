#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Demand.h"

#include <chrono>

namespace cranberryreel::policy
{

/// Computes the headroom for requests that may arrive soon: their recent peak usage less their present usage. Owned by the planner; used by its thread only.
class RequestHeadroom
{
public:
    void observe(const Demand &heldByRequests, base::SteadyTime now);

    /// Returns the headroom, capped at a fixed fraction of the zone.
    Demand requiredHeadroom(const Demand &heldByRequests, const Demand &zoneTotal) const;

private:
    Demand currentPeak;
    Demand previousPeak;
    base::SteadyTime windowStart;
};

} // namespace cranberryreel::policy
