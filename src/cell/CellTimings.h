#pragma once

#include "replication/GroupTimings.h"

#include <chrono>

namespace cranberryreel::cell
{

/// The timings of the cell's replication group. The VMs have half a core or less, shared with HTTP and the scheduler; the election timeouts are long enough to
/// ride out a short CPU shortage.
inline replication::GroupTimings cellGroupTimings()
{
    replication::GroupTimings timings;
    timings.heartbeat = std::chrono::milliseconds(120);
    timings.electionMin = std::chrono::milliseconds(420);
    timings.electionMax = std::chrono::milliseconds(620);
    timings.restartGrace = std::chrono::milliseconds(620);
    timings.formationSettle = std::chrono::milliseconds(620);
    // The disks keep everything that was synced, so a member with a readable disk need not wait long for one with newer state.
    timings.formationPatience = std::chrono::milliseconds(1240);
    return timings;
}

} // namespace cranberryreel::cell
