#include "cell/planning/FastCapacityWait.h"

namespace cranberryreel::cell::planning
{

namespace
{

/// Between the end of a run and the start of the next one there: the report of the end, a plan, the commit and the start request.
constexpr std::chrono::milliseconds HandoverTime{40};

} // namespace

bool waitsForFastCapacity(const FastCapacityOutlook &outlook)
{
    const std::chrono::milliseconds latestEnd = outlook.expectedRunTime + outlook.slackTime;
    if (outlook.missingTasks == 0 || outlook.slowRunTime <= latestEnd || outlook.releases.size() < outlook.missingTasks) {
        return false;
    }
    return outlook.releases[outlook.missingTasks - 1] + HandoverTime + outlook.fastRunTime <= latestEnd;
}

} // namespace cranberryreel::cell::planning
