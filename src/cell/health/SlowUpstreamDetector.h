#pragma once

#include "cell/CellState.h"
#include "cell/RunTable.h"
#include "cell/health/UpstreamSpeeds.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cranberryreel::cell::health
{

/// An upstream that runs its work far too slowly, and its runs that would end earlier if started again elsewhere.
struct SlowUpstream {
    std::uint64_t upstream = 0;
    std::vector<RunKey> runsToMove;
};

/// Detects upstreams that became slow, or on which work stalls. Load pattern: a few upstreams run everything six times slower for some seconds, or hang, while
/// they look healthy. A task is compared with its siblings, since the submitter's estimates are rough; one long task alone says nothing about its upstream. Not
/// thread-safe; used on the scheduler's thread only. Lives for one leader term.
class SlowUpstreamDetector
{
public:
    /// Records that a task of the step ran for `time` until it was done, on an upstream of that usual speed.
    void recordCompletion(const StepKey &step, std::chrono::milliseconds time, double usualSpeed = 1.0);

    /// The upstreams that are slow or stalled now. Where `speeds` is set and uneven, a task may take longer on an upstream that is slower than those of its
    /// siblings.
    std::vector<SlowUpstream> detect(const CellState &state, RunTable &runs, base::SteadyTime now, const UpstreamSpeeds *speeds = nullptr) const;

    /// Erases the durations of jobs that are no longer open.
    void eraseClosedJobs(const CellState &state);

private:
    struct Durations {
        std::chrono::milliseconds total{0};
        std::chrono::duration<double, std::milli> totalAtNominalSpeed{0}; ///< The same, as if the tasks had run at speed 1.
        int count = 0;
    };

    /// The mean duration of the step's done tasks, or its estimate before the first of them. Where `speed` is set, as it would be at that speed.
    std::chrono::milliseconds typicalDuration(const StepKey &key, const wire::StepT &step, std::optional<double> speed) const;

    std::map<StepKey, Durations> durations;
};

} // namespace cranberryreel::cell::health
