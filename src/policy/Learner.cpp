#include "policy/Learner.h"

#include <chrono>

namespace cranberryreel::policy
{

void Learner::learnFromFailure(const JobEntry &job, const TaskEntry &task, base::SteadyTime now)
{
    const WorkModel::Blame blame = this->zone.workModel.observeFailure(job.name, task.upstream);
    if (!blame.onWork) {
        this->zone.health.recordFailure(task.upstream, false, now);
        return;
    }
    this->zone.health.recordInconclusive(task.upstream);
    for (const UpstreamIndex cleared : blame.cleared) {
        this->zone.health.clearFailures(cleared);
    }
}

void Learner::learnFromEnd(const JobEntry &job, const TaskEntry &task, TaskEnd end, base::SteadyTime now)
{
    if (end == TaskEnd::Done) {
        this->zone.workModel.observeRunTime(job.name, std::chrono::duration_cast<std::chrono::milliseconds>(now - task.startedAt));
        this->zone.workModel.observeSize(job.name, job.declared, task.peak);
        this->zone.workModel.observeSuccess(job.name);
        this->zone.health.recordSuccess(task.upstream, now);
    } else if (end == TaskEnd::NotStarted) {
        this->zone.health.recordFailure(task.upstream, true, now);
    } else if (end == TaskEnd::Failed) {
        this->learnFromFailure(job, task, now);
    } else {
        this->zone.health.recordInconclusive(task.upstream);
    }
    this->zone.applySlotLimits();
}

} // namespace cranberryreel::policy
