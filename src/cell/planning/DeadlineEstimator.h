#pragma once

#include "cell/CellState.h"
#include "cell/planning/ExpectedSpeeds.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace cranberryreel::cell::planning
{

/// Whether an occurrence of a job can still end within the latency objective of its queue.
enum class Timeliness : std::uint8_t {
    OnTime, ///< It can end within the objective.
    Late, ///< It can end within three times the objective.
    Missed ///< It ends later, and is worth nothing to its submitter.
};

/// Estimates how much time jobs have left, from their age, the estimates of the steps that are not done, and the latency objective of their queue.
/// Immutable; does no I/O. Made anew for each plan.
class DeadlineEstimator
{
public:
    /// `acceptedAt` holds the acceptance times by job number and must outlive the estimator; a job that is missing there has no estimate. `expectedSpeeds` is
    /// null, or outlives the estimator: the remaining time of a step is then that of its tasks at the speeds at which they run or will likely run. The
    /// objective stays that of nominal speed.
    DeadlineEstimator(const std::map<std::uint64_t, base::SteadyTime> &acceptedAt,
                      base::SteadyTime currentTime,
                      const ExpectedSpeeds *expectedSpeeds = nullptr);

    struct Estimate {
        Timeliness timeliness = Timeliness::OnTime;
        bool overdue = false; ///< Missed for as long again as its submitter had to wait for a result of any worth.
        std::chrono::milliseconds slackTime{0}; ///< How long the job can wait without becoming less timely.
    };

    /// Empty for jobs without a deadline: a job with a lasting step never ends, and the occurrences of a repeated job do not age from its acceptance. Empty as
    /// well when `queue` is null or the acceptance time is unknown.
    std::optional<Estimate> estimate(const wire::JobT &job, std::uint32_t occurrence, const wire::QueueT *queue) const;

private:
    std::chrono::milliseconds remainingRunTime(const wire::StepT &step, const wire::StepStateT &state, const wire::QueueT &queue) const;
    std::chrono::milliseconds remainingTime(const wire::JobT &job, std::uint32_t occurrence, const wire::QueueT &queue) const;

    const std::map<std::uint64_t, base::SteadyTime> &acceptanceTimes;
    const base::SteadyTime now;
    const ExpectedSpeeds *speeds;
};

/// A job that ends later than this many times its objective is worth nothing to its submitter, by the platform's credit rules.
constexpr int LateLimitFactor = 3;

/// The time from the start of the job's first step to its end if no step waits for capacity: its longest chain of dependent steps.
std::chrono::milliseconds unqueuedTime(const wire::JobSpecT &spec, const wire::QueueT &queue);

/// The latency objective of a job without lasting steps that runs once, from its acceptance.
std::chrono::milliseconds latencyObjective(const wire::JobSpecT &spec, const wire::QueueT &queue);

/// True when all tasks of the step are done.
bool isDone(const wire::StepStateT &step);

} // namespace cranberryreel::cell::planning
