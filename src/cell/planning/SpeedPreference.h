#pragma once

#include "cell/planning/DeadlineEstimator.h"
#include "cell/planning/FastCapacityWait.h"
#include "cell/planning/ReadySteps.h"
#include "cell/planning/SpeedClass.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace cranberryreel::cell::planning
{

/// Decides which upstreams a step prefers by their speed. Load pattern: a third of the upstreams is 2.4 times as fast as the others. Urgent work that starts on
/// a slow one misses its objective, while wide work could run there with time to spare and long-running work ends nowhere sooner. So urgent and late work and
/// work with little slack goes where it ends earliest; work with slack goes to the slowest upstreams on which it ends in time; long-running work, and work that
/// is worth nothing any more, goes to slow ones. A plain value, made for one step of one plan; pure.
class SpeedPreference
{
public:
    /// No preference: all upstreams rank equally.
    SpeedPreference() = default;

    /// The preference in a service with this reference speed (see SpeedClass); `estimate` is that of the step's job, with the step at the expected speed.
    SpeedPreference(const ReadyStep &ready, const std::optional<DeadlineEstimator::Estimate> &estimate, double reference, double expectedSpeed);

    /// The rank of an upstream of this speed, preferred ones first. A speed is divided by the far-rack factor where the upstream is off the step's rack.
    int rankOf(double speed) const;

    /// How long a task of the step runs at this speed.
    std::chrono::milliseconds runTime(double speed) const;

    /// False where all upstreams rank equally.
    bool isSet() const
    {
        return this->goal != Goal::None;
    }

    /// Whether the step is one that fast upstreams let end on time; see FastCapacityWait.
    bool mayWaitForFast() const
    {
        return this->goal == Goal::EarliestEnd && this->isOnTime;
    }

    /// What the step can expect where it runs so long on fast and on slower upstreams; tasks and releases are left empty.
    FastCapacityOutlook outlook(double slowerSpeed) const;

private:
    enum class Goal : std::uint8_t {
        None,
        EarliestEnd,
        SlowestInTime,
        Slowest
    };

    static Goal goalOf(const ReadyStep &ready, const std::optional<DeadlineEstimator::Estimate> &estimate);

    Goal goal = Goal::None;
    double referenceSpeed = 1.0;
    std::chrono::milliseconds nominalRunTime{0};
    std::chrono::milliseconds expectedRunTime{0};
    std::chrono::milliseconds slackTime{0}; ///< What the job can still lose, with the step at its expected run time.
    double slowestInTime = 0; ///< The lowest speed at which the step ends early enough.
    bool isOnTime = false;
};

} // namespace cranberryreel::cell::planning
