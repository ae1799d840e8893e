#pragma once

#include "cell/CellState.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <map>

namespace cranberryreel::cell
{

/// Writes the log line of each job that ends, with the times that its course took, and keeps the figures of both. Used by the scheduler's thread only.
/// Owned by the term; jobs that began under an earlier leader have no times in their line.
class JobWatch
{
public:
    void accepted(std::uint64_t job, base::SteadyTime now);

    /// Takes up the jobs that an earlier leader accepted; their age is told by the time of day, `unixNow`.
    void adopt(const CellState &state, std::int64_t unixNowMs, base::SteadyTime now);

    /// When the open jobs were accepted.
    const std::map<std::uint64_t, base::SteadyTime> &acceptanceTimes() const
    {
        return this->acceptedAt;
    }

    void started(std::uint64_t job, base::SteadyTime now);

    /// Looks at the jobs that are known to be open; those that have ended meanwhile are told.
    void look(const CellState &state, base::SteadyTime now);

private:
    struct Course {
        base::SteadyTime acceptedAt{};
        base::SteadyTime startedAt{};
    };

    std::map<std::uint64_t, Course> courses;
    std::map<std::uint64_t, base::SteadyTime> acceptedAt; ///< Only as right as the clocks of two leaders agree, for jobs that were adopted.
};

} // namespace cranberryreel::cell
