#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/TaskAttempt.h"
#include "zone/UpstreamRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::zone
{

enum class UpstreamPhase : std::uint8_t {
    Fencing, ///< Has not seen this epoch yet: an earlier scheduler might still start work there.
    Live,
    Silent, ///< Answers nothing; its lease runs out.
    Lost, ///< Its lease is provably over.
};

/// One upstream as the active scheduler sees it. Owned by UpstreamFleet.
struct UpstreamEntry {
    UpstreamRecord record;
    UpstreamPhase phase = UpstreamPhase::Fencing;
    bool leaving = false;
    bool suspect = false; ///< A call to it failed since its last answer.
    bool accepting = false; ///< As the planner was told last.
    bool renewing = false; ///< A renewal is on its way.
    base::SteadyTime lastContact; ///< When the last answered renewal was sent.
    base::SteadyTime leaseSentAt; ///< When a call that may have extended its lease was last sent.
    base::SteadyTime nextRenew;
    base::SteadyTime nextWhole; ///< When the next renewal is to list running tasks too.
    std::vector<model::TaskAttempt> acknowledge; ///< Ended attempts whose end is kept.
};

} // namespace cranberryreel::zone
