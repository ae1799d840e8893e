#pragma once

#include "cell/CellState.h"
#include "cell/TaskKey.h"
#include "cell/health/SpeedSource.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>

namespace cranberryreel::cell::health
{

/// Estimates how fast each upstream runs its tasks, relative to the mean of all. Load pattern: upstreams of one service differ in speed by a factor of two or
/// more, some only for seconds, and submitters' estimates are too rough to show it. Not thread-safe; used on the scheduler's thread only. Lives for one leader
/// term.
class UpstreamSpeeds : public SpeedSource
{
public:
    /// Records that a task of the step ran on the upstream for `duration` until it was done.
    void recordCompletion(const StepKey &step, std::uint64_t upstream, std::chrono::milliseconds duration, base::SteadyTime now);

    /// Records that the upstream reported `percent` of the run's work done, `elapsed` after its start.
    void recordProgress(const RunKey &run, std::uint64_t upstream, int percent, std::chrono::milliseconds elapsed, base::SteadyTime now);

    /// Discards what is known of the upstream; called when another incarnation of it starts.
    void forget(std::uint64_t upstream);

    /// Erases what is kept for jobs that are no longer open.
    void eraseClosedJobs(const CellState &state);

    double speedOf(std::uint64_t upstream) const override;
    bool isUneven() const override;
};

} // namespace cranberryreel::cell::health
