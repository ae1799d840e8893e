#include "cell/health/SpeedEstimate.h"

#include "cell/health/SampleDecay.h"

#include <algorithm>
#include <cmath>

namespace cranberryreel::cell::health
{

namespace
{

/// The weight of the prior, in samples, while the usual speed is not known; small, since upstreams differ by more than tasks do.
constexpr double PriorWeight = 0.3;
/// The most that the usual speed weighs against the recent samples.
constexpr double MaxUsualWeight = 4;
/// Samples after which the usual speed is known well enough to tell a change from chance.
constexpr double SettledWeight = 2;
/// The usual speed follows about this many samples, which bounds its error to a tenth.
constexpr double UsualMemory = 16;
/// A factor of 1.8, the error of the mean of three tasks three times over.
constexpr double ChangeThreshold = 0.6;
/// One task in thirty takes 7 times as long, so a change needs more than one sample, unless it is a new completion or a run that changed its
/// pace. A weight of 1 would find fewer of the slow upstreams, 0.93 instead of 0.95 of them after 2 s in simulation.
constexpr double MinWeightOfChange = 0.8;
/// Slowdowns last for about 6 s; a change that lasts longer than this is the new usual speed.
constexpr std::chrono::seconds LongestSlowdown{10};
/// The usual speed of an upstream without samples for this long is forgotten.
constexpr std::chrono::seconds MaxIdleTime{60};

/// Whether the samples show that the speed is not the usual one any more.
bool showChange(const std::vector<WeightedValue> &samples, double recent, double usual)
{
    const double direction = recent < usual ? -1 : 1;
    double weight = 0;
    for (const WeightedValue &sample : samples) {
        weight += direction * (sample.value - usual) > ChangeThreshold ? sample.weight : 0;
    }
    return direction * (recent - usual) > ChangeThreshold && weight >= MinWeightOfChange;
}

} // namespace

bool SpeedEstimate::isSettled() const
{
    return this->usualWeight >= SettledWeight;
}

void SpeedEstimate::update(std::vector<WeightedValue> &samples, double prior)
{
    const double anchor = this->isSettled() ? this->usualSpeed : prior;
    this->recentWeight = 0;
    for (const WeightedValue &sample : samples) {
        this->recentWeight += sample.weight;
    }
    this->recentSpeed = this->recentWeight > 0 ? robustMean(samples) : anchor;
    this->changed = this->isSettled() && showChange(samples, this->recentSpeed, anchor);
    if (this->isSettled() && !this->changed) {
        this->recentSpeed = std::clamp(this->recentSpeed, anchor - ChangeThreshold, anchor + ChangeThreshold);
    }
    const double anchorWeight = this->isSettled() && !this->changed ? std::min(this->usualWeight, MaxUsualWeight) : PriorWeight;
    this->presentSpeed = (this->recentWeight * this->recentSpeed + anchorWeight * anchor) / (this->recentWeight + anchorWeight);
}

void SpeedEstimate::settle(base::SteadyTime now, std::chrono::milliseconds interval)
{
    const double arrived = std::max(0.0, this->recentWeight - this->settledWeight * sampleWeight(interval));
    this->settledWeight = this->recentWeight;
    if (this->recentWeight <= 0) {
        this->changedSince.reset();
        if (now - this->lastSampleAt > MaxIdleTime) {
            *this = SpeedEstimate();
        }
        return;
    }
    if (arrived > 0) {
        this->lastSampleAt = now;
    }
    this->samplesSeen += arrived;
    if (this->changed) {
        if (now - this->changedSince.value_or(now) > LongestSlowdown) {
            this->usualSpeed = this->recentSpeed;
            this->changedSince.reset();
        } else if (!this->changedSince) {
            this->changedSince = now;
        }
        return;
    }
    this->changedSince.reset();
    this->usualWeight += arrived;
    this->usualSpeed += arrived > 0 ? (this->recentSpeed - this->usualSpeed) * arrived / this->usualWeight : 0.0;
    this->usualWeight = std::min(this->usualWeight, UsualMemory);
}

void SpeedEstimate::shift(double by)
{
    this->presentSpeed -= by;
    this->usualSpeed -= by;
    this->recentSpeed -= by;
}

} // namespace cranberryreel::cell::health
