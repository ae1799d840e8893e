#include "zone/ReportReconciler.h"

#include "zone/JobRecord.h"

#include <absl/container/flat_hash_set.h>

#include <optional>
#include <utility>

namespace cranberryreel::zone
{

ReportReconciler::ReportReconciler(TermParts &termParts, TaskCommander &taskCommander, AttemptEndHandler &attemptEndHandler)
    : parts(termParts)
    , commander(taskCommander)
    , endHandler(attemptEndHandler)
{
}

void ReportReconciler::reconcile(const model::UpstreamReport &report, bool complete, base::SteadyTime askedAt)
{
    const base::SteadyTime now = base::steadyNow();
    for (const model::TaskReport &task : report.tasks) {
        this->reconcileTask(report, task, now);
    }
    if (complete) {
        this->endUnlistedTasks(report, askedAt);
    }
}

void ReportReconciler::reconcileTask(const model::UpstreamReport &report, const model::TaskReport &task, base::SteadyTime now)
{
    const std::optional<TaskName> name = TaskName::parse(task.taskId);
    if (!name) {
        return;
    }
    ActiveJob *job = this->parts.jobs.find(name->job);
    if (job == nullptr || name->index >= job->tasks.size()) {
        this->reconcileUntracked(report, task, now);
        return;
    }
    const ActiveTask &active = job->tasks[name->index];
    const bool isCurrent = active.attempt == task.attempt && active.upstream == report.id;
    if (isCurrent) {
        this->endHandler.handleReport(*job, name->index, task, now);
        return;
    }
    // An earlier attempt of the task; its end is already known or proved.
    if (model::isFinal(task.state)) {
        this->parts.fleet.acknowledge(report.id, {task.taskId, task.attempt});
    } else {
        this->commander.stopUntracked(report.id, task.taskId, task.attempt);
    }
}

void ReportReconciler::reconcileUntracked(const model::UpstreamReport &report, const model::TaskReport &task, base::SteadyTime now)
{
    const std::optional<TaskName> name = TaskName::parse(task.taskId);
    const std::optional<JobRecord> record = this->parts.context.store.findJob(name->job);
    if (!record) {
        this->adoptRequest(*name, report, task, now);
        return;
    }
    const bool outcomeOpen = name->index < record->tasks.size() && record->tasks[name->index].state == model::JobState::Unknown
        && record->tasks[name->index].attempt == task.attempt;
    if (outcomeOpen) {
        this->resolveUnknown(*record, *name, report, task);
    } else if (model::isFinal(task.state)) {
        this->parts.fleet.acknowledge(report.id, {task.taskId, task.attempt});
    } else {
        this->commander.stopUntracked(report.id, task.taskId, task.attempt);
    }
}

/// Records the reported outcome of a task whose outcome was recorded as unknown.
void ReportReconciler::resolveUnknown(const JobRecord &record, const TaskName &name, const model::UpstreamReport &report, const model::TaskReport &task)
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

/// Adopts a request that an earlier leader started. The job is kept until its caller submits it again, so that the request does not run twice and its answer
/// is not lost.
void ReportReconciler::adoptRequest(const TaskName &name, const model::UpstreamReport &report, const model::TaskReport &task, base::SteadyTime now)
{
    model::JobSpec spec;
    spec.id = name.job;
    spec.kind = model::JobKind::Request;
    spec.perTask = model::Resources::larger(task.reserved, task.usage);
    if (name.index != 0) {
        return;
    }
    ActiveJob &job = this->parts.jobs.add(spec, false, now);
    job.adopted = true;
    ActiveTask &active = job.tasks.front();
    active.attempt = task.attempt;
    active.upstream = report.id;
    active.boot = report.boot;
    active.reserved = spec.perTask;
    active.stage = TaskStage::AwaitingReadBack;
    this->parts.planner.adoptTask(spec, 0, report.id, spec.perTask, now);
    this->parts.placementIndex.add(report.id, name);
    this->endHandler.handleReport(job, 0, task, now);
}

/// Ends tasks that should run on the upstream but are missing from its report: they never started there, or their process is gone.
void ReportReconciler::endUnlistedTasks(const model::UpstreamReport &report, base::SteadyTime askedAt)
{
    absl::flat_hash_set<std::string> listed;
    for (const model::TaskReport &task : report.tasks) {
        listed.insert(task.taskId + '#' + std::to_string(task.attempt));
    }
    const base::SteadyTime now = base::steadyNow();
    this->parts.placementIndex.visit(report.id, [this, &report, &listed, askedAt, now](const TaskName &name) {
        ActiveJob *job = this->parts.jobs.find(name.job);
        if (job == nullptr || name.index >= job->tasks.size() || job->tasks[name.index].upstream != report.id) {
            return false;
        }
        const ActiveTask &task = job->tasks[name.index];
        if (task.stage == TaskStage::Assigning) {
            return true;
        }
        if (!mayBeOnUpstream(task.stage)) {
            return false;
        }
        const bool absent = listed.count(name.toString() + '#' + std::to_string(task.attempt)) == 0;
        if (!absent || task.stage == TaskStage::Starting || task.stage == TaskStage::StartUnconfirmed) {
            return true;
        }
        if (task.stage == TaskStage::Running) {
            if (task.confirmedAt >= askedAt) {
                return true;
            }
            this->endHandler.handleLost(*job, name.index, now);
        } else if (task.boot == report.boot) {
            this->endHandler.handleNotStarted(*job, name.index);
        } else {
            this->endHandler.handleLost(*job, name.index, now);
        }
        return false;
    });
}

} // namespace cranberryreel::zone
