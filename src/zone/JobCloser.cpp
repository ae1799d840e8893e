#include "zone/JobCloser.h"

#include "zone/Commands.h"
#include "zone/UnixTime.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::zone
{

namespace
{

bool waitsWhole(const ActiveJob &job)
{
    return std::all_of(job.tasks.begin(), job.tasks.end(), [](const ActiveTask &task) { return task.stage == TaskStage::Waiting; });
}

} // namespace

JobCloser::JobCloser(TermParts &termParts, TaskEnder &taskEnder)
    : parts(termParts)
    , ender(taskEnder)
{
}

/// Gives up a job that lives only here and of which nothing runs.
void JobCloser::drop(ActiveJob &job, base::ResultCode code, const std::string &reason)
{
    const base::SteadyTime now = base::steadyNow();
    this->parts.planner.cancel(job.spec.id, now);
    for (const std::uint32_t index : std::exchange(job.heldStarts, {})) {
        this->parts.planner.taskEnded(job.spec.id, index, policy::TaskEnd::NotStarted, false, now);
    }
    const bool ran = std::any_of(job.tasks.begin(), job.tasks.end(), [](const ActiveTask &task) { return task.failures > 0; });
    job.replicated = false;
    job.submitting = false;
    job.state = ran ? model::JobState::Failed : model::JobState::NotRun;
    job.code = code;
    job.reason = reason;
    if (job.mayHaveRun && !ran) {
        job.state = model::JobState::Unknown;
        job.code = base::ResultCode::OutcomeUnknown;
        job.reason = "an earlier scheduler may have run it; now: " + reason;
    }
    for (ActiveTask &task : job.tasks) {
        task.stage = TaskStage::Ended;
    }
    this->parts.jobs.finish(job, now);
}

void JobCloser::refuse(const model::JobId &id, base::ResultCode code, const std::string &reason)
{
    ActiveJob *job = this->parts.jobs.find(id);
    if (job == nullptr) {
        return;
    }
    if (!job->replicated) {
        this->drop(*job, code, reason);
        return;
    }
    this->parts.context.group.propose(refuseCommand(id, code, reason, unixNow()),
                                      replication::Durability::Majority,
                                      [this, id, guard = this->parts.context.guard](const replication::ProposeResult &result) {
                                          guard([this, id, result] {
                                              ActiveJob *refused = this->parts.jobs.find(id);
                                              if (refused == nullptr || result.code != base::ResultCode::Ok || result.result != "1") {
                                                  return;
                                              }
                                              this->parts.planner.cancel(id, base::steadyNow());
                                              this->ender.refused(*refused);
                                          });
                                      });
}

void JobCloser::watchDeadline(ActiveJob &job)
{
    if (!job.deadlineAt) {
        return;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*job.deadlineAt - base::steadyNow());
    this->parts.context.guardAfter(std::max(left, std::chrono::milliseconds(0)), [this, id = job.spec.id] { this->deadlinePassed(id); });
}

void JobCloser::deadlinePassed(const model::JobId &id)
{
    ActiveJob *job = this->parts.jobs.find(id);
    if (job == nullptr || job->finalAt || job->submitting || !waitsWhole(*job)) {
        return;
    }
    this->refuse(id, base::ResultCode::DeadlinePassed, "its deadline passed while it waited");
}

} // namespace cranberryreel::zone
