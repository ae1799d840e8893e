#pragma once

#include "cell/CellState.h"
#include "cell/health/SpeedSource.h"

#include <cstdint>
#include <map>
#include <string>

namespace cranberryreel::cell::planning
{

/// The speeds at which tasks of a plan run or are expected to run, for estimates of run times. Owned by the SpeedPlacement; a plain value.
struct ExpectedSpeeds {
    const health::SpeedSource *source = nullptr; ///< Null when placement does not consider speed.
    std::map<std::string, double> urgentByService; ///< Speed of the fast upstreams, by service, where the upstreams of a service are uneven.

    /// The speed that a waiting task of the queue will likely get: that of fast upstreams for urgent work, else the mean.
    double ofWaiting(const wire::QueueT &queue) const
    {
        const auto urgent = queue.priority == 0 ? this->urgentByService.find(queue.service) : this->urgentByService.end();
        return urgent == this->urgentByService.end() ? 1.0 : urgent->second;
    }

    double ofRunOn(std::uint64_t upstream) const
    {
        return this->source == nullptr ? 1.0 : this->source->speedOf(upstream);
    }
};

} // namespace cranberryreel::cell::planning
