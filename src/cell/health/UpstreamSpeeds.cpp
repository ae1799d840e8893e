#include "cell/health/UpstreamSpeeds.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>
#include <vector>

namespace cranberryreel::cell::health
{

namespace
{

using std::chrono::milliseconds;

/// A fit takes some tenths of a millisecond, so that it costs a few microseconds for each of about a hundred completions in between.
constexpr milliseconds FitInterval{200};
/// Works and speeds are fitted in turn so many times. Each fit starts from the last one and the steps connect all upstreams, so that two suffice.
constexpr int SweepsPerFit = 2;
/// Speeds are kept between this and its reciprocal; beyond it, an upstream has stalled rather than become slow.
constexpr double LeastSpeed = 0.1;

double boundedSpeed(double logSpeed)
{
    return std::clamp(std::exp(logSpeed), LeastSpeed, 1 / LeastSpeed);
}

} // namespace

void UpstreamSpeeds::setType(std::uint64_t upstream, const std::string &type)
{
    this->upstreams[upstream].type = type;
}

void UpstreamSpeeds::recordCompletion(const RunKey &run, std::uint64_t upstream, milliseconds duration, base::SteadyTime now)
{
    if (RunSample *sample = this->steps[run.task.step].sampleOf(run, upstream, now)) {
        sample->measure(sample->pace.recordCompletion(duration), now);
        sample->done = true;
        this->upstreams.try_emplace(upstream);
    }
    this->fitIfDue(now);
}

void UpstreamSpeeds::recordProgress(const RunKey &run, std::uint64_t upstream, int percent, milliseconds elapsed, base::SteadyTime now)
{
    RunSample *sample = this->steps[run.task.step].sampleOf(run, upstream, now);
    if (const std::optional<double> logDuration = sample == nullptr ? std::nullopt : sample->pace.recordProgress(percent, elapsed)) {
        sample->measure(*logDuration, now);
        this->upstreams.try_emplace(upstream);
    }
    this->fitIfDue(now);
}

void UpstreamSpeeds::forget(std::uint64_t upstream)
{
    this->upstreams.erase(upstream);
    for (auto &[key, step] : this->steps) {
        step.forget(upstream);
    }
}

void UpstreamSpeeds::eraseClosedJobs(const CellState &state)
{
    for (auto at = this->steps.begin(); at != this->steps.end();) {
        at = state.openJobs().count(at->first.job) > 0 ? std::next(at) : this->steps.erase(at);
    }
    for (auto at = this->upstreams.begin(); at != this->upstreams.end();) {
        at = state.upstreams().count(at->first) > 0 ? std::next(at) : this->upstreams.erase(at);
    }
}

double UpstreamSpeeds::speedOf(std::uint64_t upstream) const
{
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? 1.0 : found->second.speed;
}

double UpstreamSpeeds::usualSpeedOf(std::uint64_t upstream) const
{
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? 1.0 : found->second.usualSpeed;
}

double UpstreamSpeeds::lowerQuartile() const
{
    return std::exp(this->spread.lowerQuartile() - this->logMeanSpeed);
}

double UpstreamSpeeds::upperQuartile() const
{
    return std::exp(this->spread.upperQuartile() - this->logMeanSpeed);
}

const SpeedEstimate *UpstreamSpeeds::estimateOf(std::uint64_t upstream) const
{
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() || found->second.estimate.sampleCount() <= 0 ? nullptr : &found->second.estimate;
}

double UpstreamSpeeds::priorOf(const Upstream &upstream) const
{
    return this->priors.differ() ? this->priors.of(upstream.type) : this->logMeanSpeed;
}

void UpstreamSpeeds::fitIfDue(base::SteadyTime now)
{
    if (this->lastFit && now - *this->lastFit < FitInterval) {
        return;
    }
    const milliseconds interval = this->lastFit ? std::chrono::duration_cast<milliseconds>(now - *this->lastFit) : FitInterval;
    this->lastFit = now;
    for (int sweep = 0; sweep < SweepsPerFit; ++sweep) {
        this->estimateSpeeds(now);
    }
    for (auto &[number, upstream] : this->upstreams) {
        upstream.estimate.settle(now, interval);
    }
    this->normalize();
    this->updatePriors();
    this->publish();
}

void UpstreamSpeeds::estimateSpeeds(base::SteadyTime now)
{
    for (auto &[number, upstream] : this->upstreams) {
        upstream.samples.clear();
    }
    for (auto &[key, step] : this->steps) {
        if (step.isRecent(now)) {
            this->collectSamples(step, now);
        }
    }
    for (auto &[number, upstream] : this->upstreams) {
        upstream.estimate.update(upstream.samples, this->priorOf(upstream));
    }
}

/// The work of older samples is kept as it was, since their upstreams may have changed their speed afterwards.
void UpstreamSpeeds::collectSamples(StepSamples &step, base::SteadyTime now)
{
    for (RunSample &sample : step.all()) {
        if (const auto found = this->upstreams.find(sample.upstream); found != this->upstreams.end() && sample.weight(now) > 0) {
            sample.logSpeed = found->second.estimate.present();
        }
    }
    const double work = step.typicalLogWork();
    for (const RunSample &sample : step.all()) {
        const double weight = step.shareOfOthers(sample.upstream) * sample.weight(now);
        if (const auto found = this->upstreams.find(sample.upstream); found != this->upstreams.end() && weight > 0) {
            found->second.samples.push_back({work - sample.logDuration, weight});
        }
    }
}

/// Sets the mean of the logarithms of the usual speeds to 0, since the fit determines speeds only up to a factor. Slowdowns of seconds do not enter the mean,
/// so that they change no other upstream's speed.
void UpstreamSpeeds::normalize()
{
    std::vector<double> usuals;
    for (const auto &[number, upstream] : this->upstreams) {
        if (const std::optional<double> usual = upstream.estimate.usual()) {
            usuals.push_back(*usual);
        }
    }
    if (usuals.empty()) {
        return;
    }
    const auto count = static_cast<double>(usuals.size());
    const double center = std::accumulate(usuals.begin(), usuals.end(), 0.0) / count;
    for (auto &[number, upstream] : this->upstreams) {
        upstream.estimate.shift(center);
    }
    double sumOfSpeeds = 0;
    for (double &usual : usuals) {
        usual -= center;
        sumOfSpeeds += std::exp(usual);
    }
    this->logMeanSpeed = std::log(sumOfSpeeds / count);
    const auto hasSamples = [](const auto &each) { return each.second.estimate.sampleCount() > 0; };
    const auto known = std::count_if(this->upstreams.begin(), this->upstreams.end(), hasSamples);
    this->spread.update(std::move(usuals), static_cast<std::size_t>(known), *this->lastFit);
}

void UpstreamSpeeds::updatePriors()
{
    this->priors = TypePriors();
    for (const auto &[number, upstream] : this->upstreams) {
        if (const std::optional<double> usual = upstream.estimate.usual(); usual && !upstream.type.empty()) {
            this->priors.add(upstream.type, *usual);
        }
    }
    this->priors.compare();
}

void UpstreamSpeeds::publish()
{
    for (auto &[number, upstream] : this->upstreams) {
        const SpeedEstimate &estimate = upstream.estimate;
        const double present = estimate.sampleCount() > 0 ? estimate.present() : this->priorOf(upstream);
        upstream.speed = boundedSpeed(present - this->logMeanSpeed);
        upstream.usualSpeed = boundedSpeed(estimate.usual().value_or(present) - this->logMeanSpeed);
    }
}

} // namespace cranberryreel::cell::health
