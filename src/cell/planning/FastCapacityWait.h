#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace cranberryreel::cell::planning
{

/// What a step on time can expect that finds too little free capacity on fast upstreams.
struct FastCapacityOutlook {
    std::chrono::milliseconds slackTime{0}; ///< How much later than expected the step may end without its job becoming late.
    std::chrono::milliseconds expectedRunTime{0}; ///< The run time that `slackTime` is based on.
    std::chrono::milliseconds fastRunTime{0};
    std::chrono::milliseconds slowRunTime{0}; ///< Run time on the slower upstreams that are free now.
    std::size_t missingTasks = 0; ///< Tasks for which fast capacity is missing, those of steps that wait already included.
    std::vector<std::chrono::milliseconds> releases; ///< From now until fast capacity for one more task each becomes free, ascending.
};

/// Decides between a slower upstream now and a faster one soon. Load pattern: in a burst, urgent tasks find the fast upstreams full for some tenths of a
/// second, since urgent tasks end soon, while a slow upstream takes 2.4 times as long and misses the objective. The step waits if the slow run would make its
/// job late, and enough fast capacity is expected early enough to end in time there. The wait is bounded: with each plan, less slack is left, and once the
/// expected release is too late for the objective, the step starts where it can. Pure.
bool waitsForFastCapacity(const FastCapacityOutlook &outlook);

} // namespace cranberryreel::cell::planning
