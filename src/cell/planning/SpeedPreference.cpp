#include "cell/planning/SpeedPreference.h"

#include <algorithm>

namespace cranberryreel::cell::planning
{

namespace
{

/// A slow upstream may take at most this share of a job's slack. The rest is for later steps, which wait again, and for errors of the estimate.
constexpr double SpendableSlackShare = 0.75;
/// How many times longer than estimated the slowest task of a step takes: run times spread by 0.15 to 0.3 of their mean.
constexpr double SlowestTaskFactor = 1.5;
/// A speed below this is an error of the estimate; it bounds run times.
constexpr double MinSpeed = 0.01;

/// Ranks by class, preferred ones first. A stalled upstream is the last choice of all work.
int fastFirst(SpeedClass speedClass)
{
    return static_cast<int>(SpeedClass::Fast) - static_cast<int>(speedClass);
}

int slowFirst(SpeedClass speedClass)
{
    return speedClass == SpeedClass::Stalled ? static_cast<int>(SpeedClass::Fast) : static_cast<int>(speedClass) - static_cast<int>(SpeedClass::Slow);
}

/// Ranks of upstreams on which a step with slack ends late come after all others.
constexpr int LateRank = 4;

} // namespace

SpeedPreference::SpeedPreference(const ReadyStep &ready, const std::optional<DeadlineEstimator::Estimate> &estimate, double reference, double expectedSpeed)
    : goal(goalOf(ready, estimate))
    , referenceSpeed(reference)
    , nominalRunTime(ready.step->estimate_ms)
    , slackTime(estimate ? estimate->slackTime : std::chrono::milliseconds(0))
    , isOnTime(estimate && estimate->timeliness == Timeliness::OnTime)
{
    this->expectedRunTime = this->runTime(expectedSpeed);
    const std::chrono::duration<double, std::milli> limit = this->expectedRunTime + SpendableSlackShare * this->slackTime;
    this->slowestInTime = limit.count() > 0 ? SlowestTaskFactor * this->nominalRunTime / limit : 0.0;
}

SpeedPreference::Goal SpeedPreference::goalOf(const ReadyStep &ready, const std::optional<DeadlineEstimator::Estimate> &estimate)
{
    if (ready.step->lasting || (estimate && estimate->timeliness == Timeliness::Missed)) {
        return Goal::Slowest;
    }
    if (isUrgent(ready) || (estimate && estimate->timeliness == Timeliness::Late)) {
        return Goal::EarliestEnd;
    }
    return estimate ? Goal::SlowestInTime : Goal::Slowest;
}

int SpeedPreference::rankOf(double speed) const
{
    if (this->goal == Goal::None) {
        return 0;
    }
    const SpeedClass speedClass = speedClassOf(speed, this->referenceSpeed);
    if (this->goal == Goal::EarliestEnd) {
        return fastFirst(speedClass);
    }
    if (this->goal == Goal::Slowest || (speedClass != SpeedClass::Stalled && speed >= this->slowestInTime)) {
        return slowFirst(speedClass);
    }
    return LateRank + fastFirst(speedClass);
}

std::chrono::milliseconds SpeedPreference::runTime(double speed) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->nominalRunTime / std::max(speed, MinSpeed));
}

FastCapacityOutlook SpeedPreference::outlook(double slowerSpeed) const
{
    FastCapacityOutlook outlook;
    outlook.slackTime = this->slackTime;
    outlook.expectedRunTime = this->expectedRunTime;
    outlook.fastRunTime = this->runTime(this->referenceSpeed);
    outlook.slowRunTime = this->runTime(slowerSpeed);
    return outlook;
}

} // namespace cranberryreel::cell::planning
