#pragma once

#include "cell/TaskKey.h"
#include "cell/health/RunPace.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace cranberryreel::cell::health
{

/// Samples older than this say nothing of an upstream's present speed; slowdowns last for seconds.
constexpr std::chrono::milliseconds MaxSampleAge{4000};

/// What one run of a task shows: the duration of the whole run, measured or projected, and where it ran.
struct RunSample {
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    std::uint64_t upstream = 0;
    RunPace pace;
    bool done = false;
    bool measured = false; ///< `logDuration` and `at` are set.
    bool changedPace = false; ///< The pace has changed by far since it was first measured.
    double logDuration = 0; ///< Logarithm of milliseconds.
    base::SteadyTime paceSince{}; ///< When a duration like the present one was first measured.
    base::SteadyTime at{}; ///< When the duration was measured last; before that, when the run was first reported.
    double logSpeed = 0; ///< Of the upstream, as estimated when the sample was last current.

    /// Takes over a measured duration.
    void measure(double newLogDuration, base::SteadyTime now);

    /// How much the sample says about the present speed of its upstream. A run that goes on at its first pace soon says little more, since long tasks would
    /// otherwise count as often as they report.
    double weight(base::SteadyTime now) const;
};

/// The samples of the runs of one step. Its tasks are equal work but for a spread, so the samples show which upstreams are faster than others. Owned by the
/// UpstreamSpeeds.
class StepSamples
{
public:
    /// The sample of the run. If there is none, a new one: in place of the oldest of a run that is done or reports no more, where there are many. Null if all
    /// belong to runs that still report.
    RunSample *sampleOf(const RunKey &run, std::uint64_t upstream, base::SteadyTime now);

    void forget(std::uint64_t upstream);

    /// The logarithm of the time that a typical task of the step takes at speed 1.
    double typicalLogWork() const;

    /// Whether a sample is recent enough to show an upstream's present speed.
    bool isRecent(base::SteadyTime now) const;

    /// The share of samples of other upstreams; where it is 0 the step compares nothing.
    double shareOfOthers(std::uint64_t upstream) const;

    std::vector<RunSample> &all()
    {
        return this->samples;
    }

private:
    std::vector<RunSample> samples;
};

} // namespace cranberryreel::cell::health
