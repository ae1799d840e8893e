#pragma once

#include "cell/CellOptions.h"
#include "cell/CellStore.h"
#include "cell/TrackedRun.h"
#include "cell/health/UpstreamSpeeds.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace cranberryreel::cell
{

/// Feeds the estimates of upstream speeds from the reports of upstreams, and exports them as metrics and log lines. Does nothing where the settings do not
/// allow placement by speed. Used by the scheduler's thread only. Owned by the TermContext.
class SpeedMonitor
{
public:
    SpeedMonitor(const CellOptions &cellOptions, CellStore &cellStore);
    SpeedMonitor(const SpeedMonitor &) = delete;
    SpeedMonitor &operator=(const SpeedMonitor &) = delete;
    ~SpeedMonitor();

    /// Records that the run is done.
    void recordCompletion(const TrackedRun &run, base::SteadyTime now);

    /// Records the progress of the run, as its upstream listed it just now.
    void recordProgress(const TrackedRun &run, base::SteadyTime now);

    /// Discards what is known of the upstream.
    void forget(std::uint64_t upstream);

    void eraseClosedJobs(const CellState &state);

    /// Reads the types of the upstreams, updates the metrics and logs a change of isUneven(). Called several times a second.
    void update(base::SteadyTime now);

    /// The usual speed of the upstream; 1 where the settings do not allow placement by speed.
    double usualSpeedOf(std::uint64_t upstream) const;

    /// Null where the settings do not allow placement by speed.
    const health::UpstreamSpeeds *speeds() const;

private:
    /// Time that the run took, less what its distance from the step's data added; nothing if the run's pace does not show its upstream's speed.
    std::optional<std::chrono::milliseconds> comparableTime(const TrackedRun &run, base::SteadyTime now) const;
    void readTypes(const CellState &state);
    void exportClasses(const CellState &state) const;
    void logUnevenness(std::size_t upstreamCount);

    const CellOptions &options;
    CellStore &store;
    health::UpstreamSpeeds upstreamSpeeds;
    bool loggedUneven = false;
    base::SteadyTime nextUpdate{};
};

} // namespace cranberryreel::cell
