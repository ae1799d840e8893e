#include "soak/TaskRuns.h"

#include "soak/SoakPlan.h"
#include "soak/StepName.h"

#include <fmt/format.h>

#include <algorithm>

namespace cranberryreel::soak
{

TaskRuns::TaskRuns(SoakReport &soakReport, LastingRuns &lastingRuns)
    : report(soakReport)
    , lasting(lastingRuns)
{
}

void TaskRuns::recordStart(const TaskRun &run)
{
    this->lasting.recordStart(run.task);
    const absl::MutexLock lock(&this->mutex);
    this->checkNoOtherRun(run);
    this->checkMayStart(run);
    this->running[run.task].push_back(run);
}

void TaskRuns::recordEnd(const TaskRun &run, const std::string &how, SteadyTime endedAt)
{
    this->lasting.recordEnd(run.task);
    const absl::MutexLock lock(&this->mutex);
    std::vector<TaskRun> &others = this->running[run.task];
    const bool twice = others.size() > 1;
    others.erase(
        std::remove_if(others.begin(), others.end(), [&run](const TaskRun &other) { return other.place == run.place && other.attempt == run.attempt; }),
        others.end());
    if (twice) {
        this->report.note(fmt::format("{} {} ended as {} at {:.3f} s", run.task, this->describe(run), how, this->report.seconds(endedAt).count()));
    }
}

void TaskRuns::recordLease(const std::string &place, SteadyTime leaseEnd, const std::string &origin)
{
    const absl::MutexLock lock(&this->mutex);
    this->leases[place] = {leaseEnd, origin};
}

void TaskRuns::recordAcknowledgement(const std::string &task, std::uint32_t attempt, const std::string &how)
{
    const absl::MutexLock lock(&this->mutex);
    Step &step = this->acknowledged[stepOf(task)];
    step.done = step.done || how == "done";
    if (how == "failed") {
        step.failed.insert(attempt);
    }
}

void TaskRuns::checkNoOtherRun(const TaskRun &run) const
{
    const auto found = this->running.find(run.task);
    if (found == this->running.end()) {
        return;
    }
    for (const TaskRun &other : found->second) {
        // A run whose lease is over has ended, even if its upstream has not recorded that yet.
        if (const Lease &lease = this->leases.at(other.place); lease.end > run.startedAt) {
            this->report.addViolation(fmt::format("{} runs twice: {} and {}; the first may run until {:.3f} s by {}",
                                                  run.task,
                                                  this->describe(other),
                                                  this->describe(run),
                                                  this->report.seconds(lease.end).count(),
                                                  lease.origin));
        }
    }
}

void TaskRuns::checkMayStart(const TaskRun &run) const
{
    const auto found = this->acknowledged.find(stepOf(run.task));
    if (found == this->acknowledged.end()) {
        return;
    }
    if (found->second.done) {
        this->report.addViolation(fmt::format("{} starts after an acknowledged end as done: {}", run.task, this->describe(run)));
    }
    if (found->second.failed.size() >= MaxAttempts) {
        this->report.addViolation(fmt::format("{} starts after {} acknowledged failures: {}", run.task, found->second.failed.size(), this->describe(run)));
    }
}

std::string TaskRuns::describe(const TaskRun &run) const
{
    return fmt::format("attempt {} on {} since {:.3f} s{}", run.attempt, run.place, this->report.seconds(run.startedAt).count(), run.origin);
}

} // namespace cranberryreel::soak
