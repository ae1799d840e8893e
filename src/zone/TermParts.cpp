#include "zone/TermParts.h"

namespace cranberryreel::zone
{

ActiveTask *TermParts::findAttempt(const model::JobId &id, std::uint32_t index, std::uint32_t number)
{
    ActiveJob *job = this->jobs.find(id);
    if (job == nullptr || index >= job->tasks.size() || job->tasks[index].attempt != number) {
        return nullptr;
    }
    return &job->tasks[index];
}

TaskChange makeTaskChange(const ActiveJob &job, std::uint32_t index, TaskChangeKind kind)
{
    const ActiveTask &task = job.tasks[index];
    TaskChange change;
    change.job = job.spec.id;
    change.task = index;
    change.kind = kind;
    change.attempt = task.attempt;
    change.upstream = task.upstream;
    change.boot = task.boot;
    change.reserved = task.reserved;
    return change;
}

bool mayBeOnUpstream(TaskStage stage)
{
    return stage == TaskStage::Starting || stage == TaskStage::StartUnconfirmed || stage == TaskStage::AwaitingReadBack || stage == TaskStage::Running;
}

} // namespace cranberryreel::zone
