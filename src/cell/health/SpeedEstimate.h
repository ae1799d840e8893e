#pragma once

#include "cell/health/RobustMean.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <optional>
#include <vector>

namespace cranberryreel::cell::health
{

/// The estimate of one upstream's speed, in logarithms: its usual speed over many samples, and its present one, which follows the last seconds. Load pattern:
/// speeds are constant for a long time, but an upstream may become several times slower for some seconds. The usual speed ignores such a slowdown, and the
/// present one returns to it when there are no samples. Owned by the UpstreamSpeeds.
class SpeedEstimate
{
public:
    /// Follows the recent samples; `prior` is the logarithm of the speed that is likely without any.
    void update(std::vector<WeightedValue> &samples, double prior);

    /// Takes the recent samples into the usual speed. Called once after the updates of a fit, `interval` after the fit before.
    void settle(base::SteadyTime now, std::chrono::milliseconds interval);

    /// Subtracts from all speeds, when the mean of all upstreams is set to 0.
    void shift(double by);

    double present() const
    {
        return this->presentSpeed;
    }

    /// Nothing before there were enough samples.
    std::optional<double> usual() const
    {
        return this->isSettled() ? std::optional<double>(this->usualSpeed) : std::nullopt;
    }

    /// The number of samples since the estimate began.
    double sampleCount() const
    {
        return this->samplesSeen;
    }

    /// When a sample last changed the estimate.
    base::SteadyTime updatedAt() const
    {
        return this->lastSampleAt;
    }

private:
    bool isSettled() const;

    double presentSpeed = 0;
    double usualSpeed = 0;
    double usualWeight = 0; ///< In samples; 0 before the first.
    double samplesSeen = 0;
    double recentSpeed = 0; ///< As the recent samples alone show it.
    double recentWeight = 0; ///< Of the recent samples.
    double settledWeight = 0; ///< Of the recent samples when settle() was called last.
    bool changed = false; ///< The recent samples differ from the usual speed by far more than tasks differ.
    std::optional<base::SteadyTime> changedSince;
    base::SteadyTime lastSampleAt{};
};

} // namespace cranberryreel::cell::health
