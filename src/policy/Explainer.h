#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/GangReserver.h"
#include "policy/Ids.h"
#include "policy/ZoneState.h"

#include <string>

namespace cranberryreel::policy
{

/// Explains to operators why a job waits or where it runs. Scans the whole zone, so it must stay out of the decision path. Owned by the planner; used by its
/// thread only.
class Explainer
{
public:
    Explainer(const ZoneState &zoneState, const GangReserver &reserver)
        : zone(zoneState)
        , gangReserver(reserver)
    {
    }

    std::string explain(JobIndex job, base::SteadyTime now) const;

private:
    std::string describePlacement(const JobEntry &job) const;
    std::string describeWait(JobIndex index, base::SteadyTime now) const;
    std::string describeMissingCapacity(const JobEntry &job) const;
    std::string describeServingOrder(const JobEntry &job) const;

    const ZoneState &zone;
    const GangReserver &gangReserver;
};

} // namespace cranberryreel::policy
