#include "zone/TaskCommander.h"

#include "zone/TaskName.h"

namespace cranberryreel::zone
{

namespace
{

std::string taskIdOf(const ActiveJob &job, std::uint32_t index)
{
    return TaskName{job.spec.id, index}.toString();
}

} // namespace

TaskCommander::TaskCommander(TermParts &termParts)
    : parts(termParts)
{
}

void TaskCommander::stop(const ActiveJob &job, std::uint32_t index)
{
    if (job.tasks[index].stage == TaskStage::Running) {
        this->sendCommand(job.tasks[index].upstream, taskIdOf(job, index), job.tasks[index].attempt, upstream::TaskCommand::Stop, [] {});
    }
}

void TaskCommander::stopAll(const ActiveJob &job)
{
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        this->stop(job, index);
    }
}

void TaskCommander::preempt(ActiveJob &job, std::uint32_t index)
{
    ActiveTask &task = job.tasks[index];
    if (task.stage != TaskStage::Running) {
        return;
    }
    task.preempting = true;
    this->sendCommand(task.upstream,
                      taskIdOf(job, index),
                      job.tasks[index].attempt,
                      upstream::TaskCommand::Checkpoint,
                      [this, upstream = task.upstream, taskId = taskIdOf(job, index), attempt = task.attempt] {
                          this->sendCommand(upstream, taskId, attempt, upstream::TaskCommand::Stop, [] {});
                      });
}

void TaskCommander::throttle(const ActiveJob &job, std::uint32_t index)
{
    if (job.tasks[index].stage == TaskStage::Running) {
        this->sendCommand(job.tasks[index].upstream, taskIdOf(job, index), job.tasks[index].attempt, upstream::TaskCommand::Throttle, [] {});
    }
}

void TaskCommander::stopUntracked(const std::string &upstream, const std::string &taskId, std::uint32_t attempt)
{
    this->sendCommand(upstream, taskId, attempt, upstream::TaskCommand::Stop, [] {});
}

void TaskCommander::sendCommand(
    const std::string &upstream, const std::string &taskId, std::uint32_t attempt, upstream::TaskCommand taskCommand, const std::function<void()> &then)
{
    const UpstreamEntry *entry = this->parts.fleet.find(upstream);
    if (entry == nullptr || !this->parts.context.holdsLeaderLease()) {
        return;
    }
    this->parts.context.adapter.command(entry->record.address,
                                        taskId,
                                        attempt,
                                        taskCommand,
                                        this->parts.context.epoch,
                                        this->parts.context.options.callTimeout,
                                        [then, postInTerm = this->parts.context.postInTerm](const upstream::TaskAnswer &) { postInTerm(then); });
}

} // namespace cranberryreel::zone
