#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/TaskAttempt.h"
#include "zone/UpstreamRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::zone
{

/// What the active scheduler knows about an upstream's lease and epoch.
enum class UpstreamPhase : std::uint8_t {
    Fencing, ///< Has not seen this epoch yet, so an earlier leader may still start work there.
    Live, ///< Answers renew requests of this epoch.
    Silent, ///< Does not answer; its lease is expiring.
    Lost, ///< Its lease has provably expired.
};

/// One upstream in the memory of the active scheduler. Owned by UpstreamFleet; used on the scheduler's thread only.
struct UpstreamEntry {
    UpstreamRecord record;
    UpstreamPhase phase = UpstreamPhase::Fencing;
    bool leaving = false;
    bool suspect = false; ///< A call to the upstream failed since its last answer.
    bool accepting = false; ///< The upstream may get new work.
    bool renewing = false; ///< A renew request is not answered yet.
    base::SteadyTime lastContact; ///< Time at which the last answered renew request was sent.
    base::SteadyTime bootConfirmedAt; ///< Time at which the last renew request that the recorded boot answered was sent.
    base::SteadyTime leaseSentAt; ///< Time at which the last call that may have extended the lease was sent.
    base::SteadyTime nextRenew;
    base::SteadyTime nextFullReport; ///< Time from which the next renewal also lists running tasks.
    std::vector<model::TaskAttempt> pendingAcknowledgements; ///< Ended attempts whose end is recorded; sent with the next renew request.
};

} // namespace cranberryreel::zone
