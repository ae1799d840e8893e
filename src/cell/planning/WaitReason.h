#pragma once

#include "cell/TaskKey.h"

#include <cstddef>
#include <cstdint>

namespace cranberryreel::cell::planning
{

/// Why a plan starts nothing of a step, or not all of it.
enum class WaitReason : std::uint8_t {
    Capacity, ///< Too little capacity can be had where the step may run.
    Headroom, ///< What is free is kept for urgent work.
    Advice, ///< The capacity is there; advice or fresh tickets are needed.
    Allowed, ///< Too few upstreams are known to be allowed.
    Stops, ///< Everything is reserved; runs that are being stopped still use it.
    Budget, ///< Large work earlier in the order takes all that the service could hold.
    ReservationLimit, ///< Large work earlier in the order has as many upstreams reserved as may be.
    Blocked, ///< The upstreams would not hold it once they have drained: tasks that last or runs that do not end are in the way.
    Yielding, ///< It reserved upstreams for its term, and lets other work go first for as long.
    Quota ///< The team's quota leaves nothing for it, or is kept for an earlier step of the team.
};

/// A step that waits, as one plan left it.
struct WaitingStep {
    StepKey step;
    WaitReason reason = WaitReason::Capacity;
    std::size_t tasks = 0; ///< Tasks without a run.
};

/// The name of the reason in logs.
const char *waitReasonName(WaitReason reason);

} // namespace cranberryreel::cell::planning
