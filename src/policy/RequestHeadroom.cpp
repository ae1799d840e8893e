#include "policy/RequestHeadroom.h"

#include <algorithm>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::seconds Window{20};
constexpr std::int64_t LargestPart = 5; ///< At most one part in so many of the zone.

Demand larger(const Demand &left, const Demand &right)
{
    return {model::Resources::larger(left.resources, right.resources), std::max(left.slots, right.slots)};
}

std::int64_t room(std::int64_t peak, std::int64_t held, std::int64_t total)
{
    return std::clamp<std::int64_t>(peak - held, 0, total / LargestPart);
}

} // namespace

void RequestHeadroom::observe(const Demand &heldByRequests, base::SteadyTime now)
{
    if (now - this->windowBegan >= Window) {
        this->peakBefore = now - this->windowBegan < 2 * Window ? this->peakNow : Demand{};
        this->peakNow = {};
        this->windowBegan = now;
    }
    this->peakNow = larger(this->peakNow, heldByRequests);
}

Demand RequestHeadroom::wanted(const Demand &held, const Demand &total) const
{
    const Demand peak = larger(this->peakNow, this->peakBefore);
    const model::Resources &most = peak.resources;
    const model::Resources &now = held.resources;
    const model::Resources &all = total.resources;
    return {{room(most.cpuMillis, now.cpuMillis, all.cpuMillis),
             room(most.memoryMiB, now.memoryMiB, all.memoryMiB),
             room(most.accelerators, now.accelerators, all.accelerators)},
            room(peak.slots, held.slots, total.slots)};
}

} // namespace cranberryreel::policy
