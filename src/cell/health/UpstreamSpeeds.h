#pragma once

#include "cell/CellState.h"
#include "cell/TaskKey.h"
#include "cell/health/SpeedEstimate.h"
#include "cell/health/SpeedSource.h"
#include "cell/health/SpeedSpread.h"
#include "cell/health/StepSamples.h"
#include "cell/health/TypePriors.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberryreel::cell::health
{

/// Estimates how fast each upstream runs its tasks, relative to the mean of all. Load pattern: upstreams of one service differ in speed by a factor of two or
/// more, some only for seconds, and submitters' estimates are too rough to show it. The logarithm of a task's duration is that of its step's work less that of
/// its upstream's speed, and a few times a second works and speeds are fitted to the recent tasks in turn. Not thread-safe; used on the scheduler's thread
/// only. Lives for one leader term. Owned by the SpeedMonitor.
class UpstreamSpeeds : public SpeedSource
{
public:
    /// Sets the type of the upstream, its first label.
    void setType(std::uint64_t upstream, const std::string &type);

    /// Records that the run took `duration` on the upstream until it was done.
    void recordCompletion(const RunKey &run, std::uint64_t upstream, std::chrono::milliseconds duration, base::SteadyTime now);

    /// Records that the upstream reported `percent` of the run's work done, `elapsed` after its start.
    void recordProgress(const RunKey &run, std::uint64_t upstream, int percent, std::chrono::milliseconds elapsed, base::SteadyTime now);

    /// Discards what is known of the upstream; called when another incarnation of it starts.
    void forget(std::uint64_t upstream);

    /// Erases what is kept for jobs that are no longer open, and for upstreams that were removed.
    void eraseClosedJobs(const CellState &state);

    double speedOf(std::uint64_t upstream) const override;

    /// The same without a slowdown of the last seconds.
    double usualSpeedOf(std::uint64_t upstream) const;

    bool isUneven() const override
    {
        return this->spread.isUneven();
    }

    /// Whether an upstream without samples has the speed of its type.
    bool typesDiffer() const
    {
        return this->priors.differ();
    }

    /// The quartiles of the usual speeds, where the mean of all is 1.
    double lowerQuartile() const;
    double upperQuartile() const;

    /// Null if nothing is known of the upstream.
    const SpeedEstimate *estimateOf(std::uint64_t upstream) const;

private:
    struct Upstream {
        std::string type;
        SpeedEstimate estimate;
        std::vector<WeightedValue> samples; ///< Of the present fit; kept to reuse its memory.
        double speed = 1; ///< As of the last fit.
        double usualSpeed = 1;
    };

    void fitIfDue(base::SteadyTime now);
    void estimateSpeeds(base::SteadyTime now);
    void collectSamples(StepSamples &step, base::SteadyTime now);
    void normalize();
    void updatePriors();
    void publish();
    double priorOf(const Upstream &upstream) const;

    std::map<StepKey, StepSamples> steps;
    std::unordered_map<std::uint64_t, Upstream> upstreams; ///< By upstream number.
    TypePriors priors;
    SpeedSpread spread;
    double logMeanSpeed = 0; ///< Logarithm of the mean speed; the fit sets the mean of the logarithms to 0.
    std::optional<base::SteadyTime> lastFit;
};

} // namespace cranberryreel::cell::health
