#pragma once

#include "cell/CellState.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <map>

namespace cranberryreel::cell
{

/// Writes a log line for each job that ends, with the times since its acceptance and first start, and records the metric of the time to the first start. Jobs
/// that an earlier leader accepted or started lack the respective time. Used by the scheduler's thread only. Owned by the CellTerm.
class JobLifecycleLog
{
public:
    void recordAccepted(std::uint64_t job, base::SteadyTime now);

    /// Adopts the open jobs that an earlier leader accepted; their age is computed from the wall clock, `unixNowMs`.
    void adopt(const CellState &state, std::int64_t unixNowMs, base::SteadyTime now);

    /// By job: when each open job was accepted.
    const std::map<std::uint64_t, base::SteadyTime> &acceptanceTimes() const
    {
        return this->acceptedAt;
    }

    void recordStarted(std::uint64_t job, base::SteadyTime now);

    /// Logs the jobs that have ended since the last call.
    void logEnded(const CellState &state, base::SteadyTime now);

private:
    struct JobTimes {
        base::SteadyTime acceptedAt{};
        base::SteadyTime startedAt{};
    };

    std::map<std::uint64_t, JobTimes> openJobs;
    std::map<std::uint64_t, base::SteadyTime> acceptedAt; ///< For adopted jobs, only as accurate as the two leaders' wall clocks agree.
};

} // namespace cranberryreel::cell
