#pragma once

#include "cell/CellState.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace cranberryreel::cell
{

/// What an occurrence of a job can still be worth to its submitter.
enum class Hope : std::uint8_t {
    InTime, ///< It can end within its objective.
    Late, ///< Within three times of it.
    None
};

/// Reckons how much time jobs have left, from their age, the estimates of the steps that are not done, and the objective of their queue. Pure.
class JobOutlook
{
public:
    /// `acceptedAt`: by job; of a job that is not in it nothing is known.
    JobOutlook(const std::map<std::uint64_t, base::SteadyTime> &acceptedAt, base::SteadyTime at);

    struct Times {
        Hope hope = Hope::InTime;
        std::chrono::milliseconds toSpare{0}; ///< So long it can wait without losing that hope.
    };

    /// Nothing for jobs without an end to be in time for: those that last, and those with occurrences, whose age does not begin with their acceptance.
    std::optional<Times> of(const wire::JobT &job, std::uint32_t occurrence, const wire::QueueT *queue) const;

private:
    const std::map<std::uint64_t, base::SteadyTime> &accepted;
    const base::SteadyTime now;
};

/// All tasks of it are done.
bool isDone(const wire::StepStateT &step);

} // namespace cranberryreel::cell
