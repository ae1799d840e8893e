#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/GangReserver.h"
#include "policy/Ids.h"
#include "policy/ZoneState.h"

#include <string>

namespace cranberryreel::policy
{

/// Says in one sentence why a job waits or where it runs. Looks at the whole zone, so it is for people, not for the path of decisions. Owned by the planner.
class Explainer
{
public:
    Explainer(const ZoneState &zoneState, const GangReserver &gangReserver)
        : zone(zoneState)
        , gangs(gangReserver)
    {
    }

    std::string explain(JobIndex job, base::SteadyTime now) const;

private:
    std::string whereItRuns(const JobEntry &job) const;
    std::string whyItWaits(JobIndex index, base::SteadyTime now) const;
    std::string whyNoRoom(const JobEntry &job) const;
    std::string whoComesFirst(const JobEntry &job) const;

    const ZoneState &zone;
    const GangReserver &gangs;
};

} // namespace cranberryreel::policy
