#include "zone/TaskRules.h"

namespace cranberryreel::zone
{

namespace
{

TaskRecord *currentAttempt(JobRecord &job, const TaskChange &change)
{
    if (change.task >= job.tasks.size() || job.tasks[change.task].attempt != change.attempt) {
        return nullptr;
    }
    return &job.tasks[change.task];
}

void endCancelled(TaskRecord &task)
{
    const bool ran = task.failures > 0;
    task.state = ran ? model::JobState::Failed : model::JobState::NotRun;
    task.code = ran ? base::ResultCode::CancelledWhileRunning : base::ResultCode::CancelledBeforeStart;
}

} // namespace

bool applyAssign(JobRecord &job, const TaskChange &change)
{
    if (job.cancelled || change.task >= job.tasks.size()) {
        return false;
    }
    TaskRecord &task = job.tasks[change.task];
    if (task.state != model::JobState::Accepted || change.attempt != task.attempt + 1) {
        return false;
    }
    task.state = model::JobState::Running;
    task.attempt = change.attempt;
    task.upstream = change.upstream;
    task.boot = change.boot;
    task.reserved = change.reserved;
    return true;
}

bool applyEnd(JobRecord &job, const TaskChange &change)
{
    TaskRecord *task = currentAttempt(job, change);
    if (task == nullptr || !model::isFinal(change.state)) {
        return false;
    }
    if (task->state != model::JobState::Running && task->state != model::JobState::Unknown) {
        return false;
    }
    task->state = change.state;
    task->code = change.code;
    if (job.spec.kind == model::JobKind::Request) {
        job.answer = change.answer;
    }
    return true;
}

bool applyRequeue(JobRecord &job, const TaskChange &change)
{
    TaskRecord *task = currentAttempt(job, change);
    if (task == nullptr || task->state != model::JobState::Running) {
        return false;
    }
    if (change.mayHaveRun && !job.spec.repeatable) {
        return false;
    }
    task->failures += change.mayHaveRun ? 1 : 0;
    task->state = model::JobState::Accepted;
    if (job.cancelled) {
        endCancelled(*task);
    }
    return true;
}

void applyCancel(JobRecord &job)
{
    job.cancelled = true;
    for (TaskRecord &task : job.tasks) {
        if (task.state == model::JobState::Accepted) {
            endCancelled(task);
        }
    }
}

} // namespace cranberryreel::zone
