#include "zone/ReportIntake.h"

#include "zone/JobRecord.h"

#include <absl/container/flat_hash_set.h>

#include <optional>
#include <utility>

namespace cranberryreel::zone
{

ReportIntake::ReportIntake(TermParts &termParts, TaskCommander &taskCommander, TaskEnder &taskEnder)
    : parts(termParts)
    , commander(taskCommander)
    , ender(taskEnder)
{
}

void ReportIntake::take(const model::UpstreamReport &report, bool complete, base::SteadyTime askedAt)
{
    const base::SteadyTime now = base::steadyNow();
    for (const model::TaskReport &task : report.tasks) {
        this->takeReport(report, task, now);
    }
    if (complete) {
        this->findAbsent(report, askedAt);
    }
}

void ReportIntake::takeReport(const model::UpstreamReport &report, const model::TaskReport &task, base::SteadyTime now)
{
    const std::optional<TaskName> name = TaskName::parse(task.taskId);
    if (!name) {
        return;
    }
    ActiveJob *job = this->parts.jobs.find(name->job);
    if (job == nullptr || name->index >= job->tasks.size()) {
        this->strayReported(report, task, now);
        return;
    }
    const ActiveTask &active = job->tasks[name->index];
    const bool isCurrent = active.attempt == task.attempt && active.upstream == report.id;
    if (isCurrent) {
        this->ender.reported(*job, name->index, task, now);
        return;
    }
    // An earlier attempt, whose end this scheduler knows or has proved.
    if (model::isFinal(task.state)) {
        this->parts.fleet.acknowledge(report.id, {task.taskId, task.attempt});
    } else {
        this->commander.stopStray(report.id, task.taskId, task.attempt);
    }
}

void ReportIntake::strayReported(const model::UpstreamReport &report, const model::TaskReport &task, base::SteadyTime now)
{
    const std::optional<TaskName> name = TaskName::parse(task.taskId);
    const std::optional<JobRecord> record = this->parts.context.store.job(name->job);
    if (!record) {
        this->inherit(*name, report, task, now);
        return;
    }
    const bool open = name->index < record->tasks.size() && record->tasks[name->index].state == model::JobState::Unknown
        && record->tasks[name->index].attempt == task.attempt;
    if (open) {
        this->resolveUnknown(*record, *name, report, task);
    } else if (model::isFinal(task.state)) {
        this->parts.fleet.acknowledge(report.id, {task.taskId, task.attempt});
    } else {
        this->commander.stopStray(report.id, task.taskId, task.attempt);
    }
}

/// The outcome of a task that was given as unknown has become known.
void ReportIntake::resolveUnknown(const JobRecord &record, const TaskName &name, const model::UpstreamReport &report, const model::TaskReport &task)
{
    if (!model::isFinal(task.state)) {
        return;
    }
    TaskChange change;
    change.job = name.job;
    change.task = name.index;
    change.kind = TaskChangeKind::End;
    change.attempt = task.attempt;
    change.state = task.state;
    change.code = task.state == model::JobState::Done ? base::ResultCode::Ok : base::ResultCode::TaskFailed;
    change.answer = task.answer;
    this->parts.changes.add(
        change, record.spec.repeatable, [this, upstream = report.id, ended = model::TaskAttempt{task.taskId, task.attempt}](base::ResultCode code) {
            if (code == base::ResultCode::Ok) {
                this->parts.fleet.acknowledge(upstream, ended);
            }
        });
}

/// A request that an earlier scheduler started: held until its caller submits it again, so that it neither runs twice nor loses its answer.
void ReportIntake::inherit(const TaskName &name, const model::UpstreamReport &report, const model::TaskReport &task, base::SteadyTime now)
{
    model::JobSpec spec;
    spec.id = name.job;
    spec.kind = model::JobKind::Request;
    spec.perTask = model::Resources::larger(task.reserved, task.usage);
    if (name.index != 0) {
        return;
    }
    ActiveJob &job = this->parts.jobs.add(spec, false, now);
    job.inherited = true;
    ActiveTask &active = job.tasks.front();
    active.attempt = task.attempt;
    active.upstream = report.id;
    active.boot = report.boot;
    active.reserved = spec.perTask;
    active.stage = TaskStage::Resolving;
    this->parts.planner.adoptTask(spec, 0, report.id, spec.perTask, now);
    this->parts.placed.note(report.id, name);
    this->ender.reported(job, 0, task, now);
}

/// What an upstream ought to run and does not list: it never began there, or is gone.
void ReportIntake::findAbsent(const model::UpstreamReport &report, base::SteadyTime askedAt)
{
    absl::flat_hash_set<std::string> listed;
    for (const model::TaskReport &task : report.tasks) {
        listed.insert(task.taskId + '#' + std::to_string(task.attempt));
    }
    const base::SteadyTime now = base::steadyNow();
    this->parts.placed.visit(report.id, [this, &report, &listed, askedAt, now](const TaskName &name) {
        ActiveJob *job = this->parts.jobs.find(name.job);
        if (job == nullptr || name.index >= job->tasks.size() || job->tasks[name.index].upstream != report.id) {
            return false;
        }
        const ActiveTask &task = job->tasks[name.index];
        if (task.stage == TaskStage::Assigning) {
            return true;
        }
        if (!isUp(task.stage)) {
            return false;
        }
        const bool absent = listed.count(name.text() + '#' + std::to_string(task.attempt)) == 0;
        if (!absent || task.stage == TaskStage::Starting || task.stage == TaskStage::Doubtful) {
            return true;
        }
        if (task.stage == TaskStage::Running) {
            if (task.confirmedAt >= askedAt) {
                return true;
            }
            this->ender.lost(*job, name.index, now);
        } else if (task.boot == report.boot) {
            this->ender.notStarted(*job, name.index);
        } else {
            this->ender.lost(*job, name.index, now);
        }
        return false;
    });
}

} // namespace cranberryreel::zone
