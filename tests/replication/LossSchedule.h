#pragma once

#include "Simulation.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::replication
{

/// The result of a series of losses.
struct LossOutcome {
    std::string violation; ///< The first one; empty for none.
    std::string history;
    std::vector<std::chrono::milliseconds> recoveries; ///< After each power loss: the time until a leader held the lease.
};

/// A group of 2 * tolerated + 1 members, and standbys beside it, with the timings and the membership rules of the cell group.
Simulation::Options keptGroup(std::size_t tolerated, std::size_t standbys);

/// Plays a random series of losses that ends with a power loss in which as many disks are lost as the terms allow, and requires that the group recovers.
LossOutcome playLosses(Simulation::Options options, std::uint64_t seed, const CoreSafety &safety);

} // namespace cranberryreel::replication
