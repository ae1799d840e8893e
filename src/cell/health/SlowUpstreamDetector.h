#pragma once

#include "cell/CellState.h"
#include "cell/RunTable.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
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
    /// Records that a task of the step ran for `time` until it was done.
    void recordCompletion(const StepKey &step, std::chrono::milliseconds time);

    /// The upstreams that are slow or stalled now.
    std::vector<SlowUpstream> detect(const CellState &state, RunTable &runs, base::SteadyTime now) const;

    /// Erases the durations of jobs that are no longer open.
    void eraseClosedJobs(const CellState &state);

private:
    struct Durations {
        std::chrono::milliseconds total{0};
        int count = 0;
    };

    /// The mean duration of the step's done tasks, or its estimate before the first of them.
    std::chrono::milliseconds typicalDuration(const StepKey &key, const wire::StepT &step) const;

    std::map<StepKey, Durations> durations;
};

} // namespace cranberryreel::cell::health
