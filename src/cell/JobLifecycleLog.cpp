#include "cell/JobLifecycleLog.h"

#include "cell/TaskKey.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

/// Upper bound of the age of an adopted job, since it is computed from the wall clock, which can jump.
constexpr std::chrono::milliseconds MaxAdoptedAge{60000};

std::int64_t millisecondsBetween(base::SteadyTime from, base::SteadyTime to)
{
    return from == base::SteadyTime() ? -1 : std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

/// The tasks of a job, and their starts and failures.
struct Totals {
    std::uint32_t tasks = 0;
    std::uint32_t starts = 0;
    std::uint32_t failures = 0;
    std::uint32_t gangFailures = 0;
    std::string failedStep = "none"; ///< OCCURRENCE.STEP of the first one with as many failures as the limit.
};

Totals countTotals(const wire::JobT &job, std::uint32_t failureLimit)
{
    Totals totals;
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (std::uint32_t s = 0; s < job.occurrences[k]->steps.size(); ++s) {
            const auto &tasks = job.occurrences[k]->steps[s]->tasks;
            const bool isGang = job.spec->steps[s]->gang;
            for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                ++totals.tasks;
                totals.starts += tasks[i]->last_attempt;
                totals.failures += tasks[i]->failures;
                totals.gangFailures += isGang ? tasks[i]->failures : 0;
                // The failures of a gang count together, so its first member stands for all.
                if (totals.failedStep == "none" && (!isGang || i == 0) && countedFailures(job, toRef({{job.number, k, s}, i})) >= failureLimit) {
                    totals.failedStep = std::to_string(k) + '.' + std::to_string(s);
                }
            }
        }
    }
    return totals;
}

} // namespace

void JobLifecycleLog::recordAccepted(std::uint64_t job, base::SteadyTime now)
{
    this->openJobs[job].acceptedAt = now;
    this->acceptedAt[job] = now;
}

void JobLifecycleLog::adopt(const CellState &state, std::int64_t unixNowMs, base::SteadyTime now)
{
    for (const std::uint64_t number : state.openJobs()) {
        const std::chrono::milliseconds age(std::clamp<std::int64_t>(unixNowMs - state.job(number)->accepted_ms, 0, MaxAdoptedAge.count()));
        this->openJobs.try_emplace(number);
        this->acceptedAt.emplace(number, now - age);
    }
}

void JobLifecycleLog::recordStarted(std::uint64_t job, base::SteadyTime now)
{
    static observe::DurationHistogram &waits = observe::durations("cranberryreel_cell_first_start_seconds", "From a job's acceptance to its first start.");
    JobTimes &times = this->openJobs[job];
    if (times.startedAt != base::SteadyTime()) {
        return;
    }
    times.startedAt = now;
    if (times.acceptedAt != base::SteadyTime()) {
        waits.record(now - times.acceptedAt);
    }
}

void JobLifecycleLog::logEnded(const CellState &state, base::SteadyTime now)
{
    for (auto at = this->openJobs.begin(); at != this->openJobs.end();) {
        const wire::JobT *job = state.job(at->first);
        if (job != nullptr && isActive(*job)) {
            ++at;
            continue;
        }
        if (job != nullptr) {
            const std::uint32_t failureLimit = state.failureLimitOf(*job->spec);
            const Totals totals = countTotals(*job, failureLimit);
            Logger.info("event=job_ended job={} queue={} state={} since_accepted_ms={} since_started_ms={} steps={} tasks={} starts={} failures={} "
                        "gang_failures={} failed_step={} failure_limit={}",
                        job->spec->id,
                        job->spec->queue,
                        wire::EnumNameJobState(job->state),
                        millisecondsBetween(at->second.acceptedAt, now),
                        millisecondsBetween(at->second.startedAt, now),
                        job->spec->steps.size(),
                        totals.tasks,
                        totals.starts,
                        totals.failures,
                        totals.gangFailures,
                        totals.failedStep,
                        failureLimit);
        }
        this->acceptedAt.erase(at->first);
        at = this->openJobs.erase(at);
    }
}

} // namespace cranberryreel::cell
