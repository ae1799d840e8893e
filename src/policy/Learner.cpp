#include "policy/Learner.h"

#include <chrono>

namespace cranberryreel::policy
{

void Learner::failed(const JobEntry &job, const TaskEntry &task, base::SteadyTime now)
{
    const WorkModel::Blame blame = this->zone.model.observeFailure(job.name, task.upstream);
    if (!blame.onWork) {
        this->zone.health.failed(task.upstream, false, now);
        return;
    }
    this->zone.health.inconclusive(task.upstream);
    for (const UpstreamIndex cleared : blame.cleared) {
        this->zone.health.forgive(cleared);
    }
}

void Learner::ended(const JobEntry &job, const TaskEntry &task, TaskEnd end, base::SteadyTime now)
{
    if (end == TaskEnd::Done) {
        this->zone.model.observeRunTime(job.name, std::chrono::duration_cast<std::chrono::milliseconds>(now - task.startedAt));
        this->zone.model.observeSize(job.name, job.declared, task.peak);
        this->zone.model.observeSuccess(job.name);
        this->zone.health.succeeded(task.upstream, now);
    } else if (end == TaskEnd::NotStarted) {
        this->zone.health.failed(task.upstream, true, now);
    } else if (end == TaskEnd::Failed) {
        this->failed(job, task, now);
    } else {
        this->zone.health.inconclusive(task.upstream);
    }
    this->zone.applySlotLimits();
}

} // namespace cranberryreel::policy
