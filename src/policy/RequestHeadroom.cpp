#include "policy/RequestHeadroom.h"

#include <algorithm>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::seconds Window{20};
constexpr std::int64_t HeadroomDivisor = 5; ///< The headroom is at most 1/n of the zone.

Demand larger(const Demand &left, const Demand &right)
{
    return {model::Resources::larger(left.resources, right.resources), std::max(left.slots, right.slots)};
}

std::int64_t headroomOf(std::int64_t peak, std::int64_t held, std::int64_t total)
{
    return std::clamp<std::int64_t>(peak - held, 0, total / HeadroomDivisor);
}

} // namespace

void RequestHeadroom::observe(const Demand &heldByRequests, base::SteadyTime now)
{
    if (now - this->windowStart >= Window) {
        this->previousPeak = now - this->windowStart < 2 * Window ? this->currentPeak : Demand{};
        this->currentPeak = {};
        this->windowStart = now;
    }
    this->currentPeak = larger(this->currentPeak, heldByRequests);
}

Demand RequestHeadroom::requiredHeadroom(const Demand &heldByRequests, const Demand &zoneTotal) const
{
    const Demand peak = larger(this->currentPeak, this->previousPeak);
    const model::Resources &peakResources = peak.resources;
    const model::Resources &current = heldByRequests.resources;
    const model::Resources &zoneResources = zoneTotal.resources;
    return {{headroomOf(peakResources.cpuMillis, current.cpuMillis, zoneResources.cpuMillis),
             headroomOf(peakResources.memoryMiB, current.memoryMiB, zoneResources.memoryMiB),
             headroomOf(peakResources.accelerators, current.accelerators, zoneResources.accelerators)},
            headroomOf(peak.slots, heldByRequests.slots, zoneTotal.slots)};
}

} // namespace cranberryreel::policy
