#include "zone/JobCloser.h"

#include "zone/Commands.h"
#include "zone/UnixTime.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::zone
{

namespace
{

bool allTasksWaiting(const ActiveJob &job)
{
    return std::all_of(job.tasks.begin(), job.tasks.end(), [](const ActiveTask &task) { return task.stage == TaskStage::Waiting; });
}

} // namespace

JobCloser::JobCloser(TermParts &termParts, AttemptEndHandler &attemptEndHandler)
    : parts(termParts)
    , endHandler(attemptEndHandler)
{
}

void JobCloser::closeLocally(ActiveJob &job, base::ResultCode code, const std::string &reason)
{
    const base::SteadyTime now = base::steadyNow();
    this->parts.planner.cancel(job.spec.id, now);
    for (const std::uint32_t index : std::exchange(job.deferredStarts, {})) {
        this->parts.planner.taskEnded(job.spec.id, index, policy::TaskEnd::NotStarted, false, now);
    }
    const bool ran = std::any_of(job.tasks.begin(), job.tasks.end(), [](const ActiveTask &task) { return task.failures > 0; });
    job.replicated = false;
    job.commitPending = false;
    job.state = ran ? model::JobState::Failed : model::JobState::NotRun;
    job.code = code;
    job.reason = reason;
    if (job.mayHaveRun && !ran) {
        job.state = model::JobState::Unknown;
        job.code = base::ResultCode::OutcomeUnknown;
        job.reason = "an earlier scheduler may have run the job; this scheduler did not: " + reason;
    }
    for (ActiveTask &task : job.tasks) {
        task.stage = TaskStage::Ended;
    }
    this->parts.jobs.markFinal(job, now);
}

void JobCloser::refuse(const model::JobId &id, base::ResultCode code, const std::string &reason)
{
    ActiveJob *job = this->parts.jobs.find(id);
    if (job == nullptr) {
        return;
    }
    if (!job->replicated) {
        this->closeLocally(*job, code, reason);
        return;
    }
    this->parts.context.group.propose(refuseCommand(id, code, reason, unixNow()),
                                      replication::Durability::Majority,
                                      [this, id, postInTerm = this->parts.context.postInTerm](const replication::ProposeResult &result) {
                                          postInTerm([this, id, result] {
                                              ActiveJob *refused = this->parts.jobs.find(id);
                                              if (refused == nullptr || result.code != base::ResultCode::Ok || result.result != "1") {
                                                  return;
                                              }
                                              this->parts.planner.cancel(id, base::steadyNow());
                                              this->endHandler.handleRefuseCommitted(*refused);
                                          });
                                      });
}

void JobCloser::scheduleDeadlineCheck(ActiveJob &job)
{
    if (!job.deadlineAt) {
        return;
    }
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(*job.deadlineAt - base::steadyNow());
    this->parts.context.postInTermAfter(std::max(remaining, std::chrono::milliseconds(0)), [this, id = job.spec.id] { this->refuseIfStillWaiting(id); });
}

void JobCloser::refuseIfStillWaiting(const model::JobId &id)
{
    ActiveJob *job = this->parts.jobs.find(id);
    if (job == nullptr || job->finalAt || job->commitPending || !allTasksWaiting(*job)) {
        return;
    }
    this->refuse(id, base::ResultCode::DeadlinePassed, "the deadline passed while the job waited");
}

} // namespace cranberryreel::zone
