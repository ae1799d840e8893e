#pragma once

#include <cstdint>

namespace cranberryreel::soak
{

enum class SoakKind : std::uint8_t {
    Rounds, ///< Rounds of faults of VMs, and the loss of one upstream after each.
    Restarts, ///< Series of restarts of upstreams that overlap with faults of the leader.
};

} // namespace cranberryreel::soak
