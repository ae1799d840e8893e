#include "zone/JobRecord.h"

namespace cranberryreel::zone
{

namespace
{

struct TaskStateCounts {
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t unknown = 0;
    std::size_t failed = 0;
    std::size_t notRun = 0;
};

TaskStateCounts countStates(const std::vector<TaskRecord> &tasks)
{
    TaskStateCounts counts;
    for (const TaskRecord &task : tasks) {
        counts.waiting += task.state == model::JobState::Accepted ? 1 : 0;
        counts.running += task.state == model::JobState::Running ? 1 : 0;
        counts.unknown += task.state == model::JobState::Unknown ? 1 : 0;
        counts.failed += task.state == model::JobState::Failed ? 1 : 0;
        counts.notRun += task.state == model::JobState::NotRun ? 1 : 0;
    }
    return counts;
}

model::JobState jobStateFrom(const TaskStateCounts &counts, std::size_t tasks)
{
    if (counts.running > 0) {
        return model::JobState::Running;
    }
    if (counts.waiting > 0) {
        return counts.waiting == tasks ? model::JobState::Accepted : model::JobState::Running;
    }
    if (counts.unknown > 0) {
        return model::JobState::Unknown;
    }
    if (counts.notRun == tasks) {
        return model::JobState::NotRun;
    }
    return counts.failed + counts.notRun > 0 ? model::JobState::Failed : model::JobState::Done;
}

base::ResultCode firstFailureCode(const JobRecord &job)
{
    for (const TaskRecord &task : job.tasks) {
        if (task.state == job.state && task.code != base::ResultCode::Ok) {
            return task.code;
        }
    }
    for (const TaskRecord &task : job.tasks) {
        if (task.code != base::ResultCode::Ok) {
            return task.code;
        }
    }
    return base::ResultCode::Ok;
}

} // namespace

void updateState(JobRecord &job, std::chrono::milliseconds now)
{
    job.state = jobStateFrom(countStates(job.tasks), job.tasks.size());
    if (!model::isFinal(job.state)) {
        job.finalAt = std::chrono::milliseconds(0);
        return;
    }
    job.code = job.state == model::JobState::Done ? base::ResultCode::Ok : firstFailureCode(job);
    if (job.finalAt.count() == 0) {
        job.finalAt = now;
    }
}

bool describesSameWork(const model::JobSpec &left, const model::JobSpec &right)
{
    return left.kind == right.kind && left.name == right.name && left.service == right.service && left.tasks == right.tasks && left.perTask == right.perTask
        && left.payload == right.payload && left.repeatable == right.repeatable;
}

model::JobStatus toJobStatus(const JobRecord &job)
{
    model::JobStatus status;
    status.id = job.spec.id;
    status.kind = job.spec.kind;
    status.partner = job.spec.partner;
    status.name = job.spec.name;
    status.state = job.state;
    status.code = model::isFinal(job.state) ? job.code : base::ResultCode::Ok;
    status.reason = job.reason;
    status.answer = job.answer;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const TaskRecord &task = job.tasks[index];
        status.tasks.push_back({index, task.state, task.code, task.upstream, task.attempt});
    }
    return status;
}

} // namespace cranberryreel::zone
