#include "cell/health/StepSamples.h"

#include "cell/health/RobustMean.h"
#include "cell/health/SampleDecay.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryreel::cell::health
{

namespace
{

/// More samples than this make the typical work no more exact, and bound the cost of wide steps.
constexpr std::size_t MaxSamples = 64;
/// Progress projects a duration from a part of the run, so it counts less than a completion.
constexpr double ProgressWeight = 0.7;
/// A factor of 1.6 between two paces of one run, beyond the error that whole percentages cause; slowdowns are by a factor of 4 to 6.
constexpr double PaceChange = 0.5;
/// What a run that goes on at the same pace counts against a new sample: more where it changed its pace, which does not depend on the task's work, and less
/// where it may be just a long task.
constexpr double ChangedPaceWeight = 2;
constexpr double SteadyPaceWeight = 0.25;

} // namespace

void RunSample::measure(double newLogDuration, base::SteadyTime now)
{
    const bool samePace = this->measured && std::abs(newLogDuration - this->logDuration) < PaceChange;
    this->paceSince = samePace ? this->paceSince : now;
    this->changedPace = this->changedPace || (this->measured && !samePace);
    this->logDuration = newLogDuration;
    this->at = now;
    this->measured = true;
}

double RunSample::weight(base::SteadyTime now) const
{
    if (!this->measured || now - this->at >= MaxSampleAge) {
        return 0;
    }
    if (this->done) {
        return sampleWeight(now - this->at);
    }
    const double steady = (this->changedPace ? ChangedPaceWeight : SteadyPaceWeight) * sampleWeight(now - this->at);
    return ProgressWeight * std::max(sampleWeight(now - this->paceSince), steady);
}

RunSample *StepSamples::sampleOf(const RunKey &run, std::uint64_t upstream, base::SteadyTime now)
{
    const auto isOfRun = [&run](const RunSample &each) { return each.task == run.task.task && each.attempt == run.attempt; };
    if (const auto found = std::find_if(this->samples.begin(), this->samples.end(), isOfRun); found != this->samples.end()) {
        return &*found;
    }
    RunSample sample;
    sample.task = run.task.task;
    sample.attempt = run.attempt;
    sample.upstream = upstream;
    sample.at = now;
    if (this->samples.size() < MaxSamples) {
        return &this->samples.emplace_back(sample);
    }
    // A run that still reports keeps its sample: a pace needs two reports of one run.
    const auto isReplaceable = [now](const RunSample &each) { return each.done || now - each.at >= MaxSampleAge; };
    const auto replacedFirst = [&](const RunSample &left, const RunSample &right) {
        return std::make_pair(!isReplaceable(left), left.at) < std::make_pair(!isReplaceable(right), right.at);
    };
    const auto replaced = std::min_element(this->samples.begin(), this->samples.end(), replacedFirst);
    if (!isReplaceable(*replaced)) {
        return nullptr;
    }
    *replaced = sample;
    return &*replaced;
}

void StepSamples::forget(std::uint64_t upstream)
{
    const auto isOfUpstream = [upstream](const RunSample &each) { return each.upstream == upstream; };
    this->samples.erase(std::remove_if(this->samples.begin(), this->samples.end(), isOfUpstream), this->samples.end());
}

double StepSamples::typicalLogWork() const
{
    std::vector<WeightedValue> values;
    values.reserve(this->samples.size());
    for (const RunSample &sample : this->samples) {
        if (sample.measured) {
            values.push_back({sample.logDuration + sample.logSpeed, 1});
        }
    }
    return robustMean(values);
}

bool StepSamples::isRecent(base::SteadyTime now) const
{
    return std::any_of(this->samples.begin(), this->samples.end(), [now](const RunSample &each) { return each.weight(now) > 0; });
}

double StepSamples::shareOfOthers(std::uint64_t upstream) const
{
    int all = 0;
    int others = 0;
    for (const RunSample &sample : this->samples) {
        all += sample.measured ? 1 : 0;
        others += sample.measured && sample.upstream != upstream ? 1 : 0;
    }
    return all == 0 ? 0.0 : static_cast<double>(others) / all;
}

} // namespace cranberryreel::cell::health
