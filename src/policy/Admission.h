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

/// Decides at once which work is taken into the queues: refuses what can never run, what is beyond a partner's limits, and requests that would come too late.
/// Owned by the planner.
class Admission
{
public:
    explicit Admission(ZoneState &zoneState)
        : zone(zoneState)
    {
    }

    Decision decide(const model::JobSpec &spec, base::SteadyTime now);

    /// How long `waiting` tasks take to be started at the rate of late.
    std::chrono::milliseconds expectedWait(std::uint32_t waiting, const RateMeter &starts, base::SteadyTime now) const;

    /// A refusal, or with Ok the word that the job was taken.
    static Decision answer(const model::JobId &job, base::ResultCode code, std::string reason);
    static std::uint32_t tasksOf(const model::JobSpec &spec);

private:
    /// Since when a partner's requests have waited without a break, as far as its submissions show.
    base::SteadyTime waitingSince(PartnerIndex partner, std::uint32_t waiting, base::SteadyTime now);

    /// How long a request will wait; nothing while the queue or its steady draining is too young to tell: after a burst, a stall or a change of
    /// leader a queue is long and yet may drain at once.
    std::optional<std::chrono::milliseconds> provenWait(PartnerIndex partner, std::uint32_t waiting, base::SteadyTime now);

    /// Why a job can never run here; Ok when it can.
    Decision verdict(const model::JobSpec &spec) const;

    ZoneState &zone;
    std::vector<base::SteadyTime> queuedSince; ///< By partner.
};

} // namespace cranberryreel::policy
