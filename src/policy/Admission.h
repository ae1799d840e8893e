#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/JobSpec.h"
#include "policy/Planner.h"
#include "policy/RateMeter.h"
#include "policy/ZoneState.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::policy
{

/// Accepts or refuses a job when it is submitted. Refuses a job that can never run in the zone, that exceeds a limit of its partner, or, for a request, that
/// cannot meet its deadline. Owned by the planner; used by its thread only.
class Admission
{
public:
    explicit Admission(ZoneState &zoneState)
        : zone(zoneState)
    {
    }

    Decision decide(const model::JobSpec &spec, base::SteadyTime now);

    /// Returns how long `waiting` tasks take to start at the recent rate of `starts`.
    std::chrono::milliseconds expectedWait(std::uint32_t waiting, const RateMeter &starts, base::SteadyTime now) const;

    /// Returns a decision of kind Refuse that answers the submission; with code Ok the job is accepted.
    static Decision makeDecision(const model::JobId &job, base::ResultCode code, std::string reason);
    static std::uint32_t taskCount(const model::JobSpec &spec);

private:
    /// Returns since when the partner's requests have waited without a break, judged by its submissions.
    base::SteadyTime waitingSince(PartnerIndex partner, std::uint32_t waiting, base::SteadyTime now);

    /// Returns the expected wait of a request; nothing while the queue or its steady drain is too young to measure. After a burst, a stall or a change of
    /// leader a long queue may still drain at once.
    std::optional<std::chrono::milliseconds> measuredWait(PartnerIndex partner, std::uint32_t waiting, base::SteadyTime now);

    /// Returns why a job can never run in this zone; code Ok when it can.
    Decision checkFit(const model::JobSpec &spec) const;

    ZoneState &zone;
    std::vector<base::SteadyTime> waitingBegan; ///< By partner; since when its requests have waited.
};

} // namespace cranberryreel::policy
