#pragma once

#include "cell/CellState.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <map>

namespace cranberryreel::cell
{

/// Writes the log line of each job that ends, with the times that its course took, and keeps the figures of both. Used by the scheduler's thread only.
/// Owned by the term; jobs that began under an earlier leader have no time of their first start.
class JobWatch
{
public:
    void accepted(std::uint64_t job, base::SteadyTime now);
    void started(std::uint64_t job, base::SteadyTime now);

    /// Looks at the jobs that are known to be open; those that have ended meanwhile are told.
    void look(const CellState &state, base::SteadyTime now);

private:
    struct Course {
        base::SteadyTime acceptedAt{};
        base::SteadyTime startedAt{};
    };

    std::map<std::uint64_t, Course> courses;
};

} // namespace cranberryreel::cell
