#include "zone/AttemptEndHandler.h"

#include "observe/Log.h"
#include "observe/Metrics.h"
#include "zone/TaskName.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::zone
{

namespace
{

const observe::Log Logger("zone.tasks");

constexpr std::size_t MaxReplicatedAnswerBytes = std::size_t{512} * 1024; // Bytes. A replicated answer must fit into one frame between members.
constexpr std::chrono::milliseconds StorePollInterval{5};

void countEnd(model::JobState state)
{
    static observe::Counter &done = observe::counter("cranberryreel_tasks_total", "Task attempts ended, by state.", "state=\"done\"");
    static observe::Counter &other = observe::counter("cranberryreel_tasks_total", "Task attempts ended, by state.", "state=\"other\"");
    (state == model::JobState::Done ? done : other).add();
}

policy::TaskEnd toPlannerEnd(model::JobState state, base::ResultCode code)
{
    if (code == base::ResultCode::LeaseLost || code == base::ResultCode::OutcomeUnknown) {
        return policy::TaskEnd::Lost;
    }
    if (code == base::ResultCode::CancelledWhileRunning) {
        return policy::TaskEnd::Stopped;
    }
    if (state == model::JobState::NotRun) {
        return policy::TaskEnd::NotStarted;
    }
    return state == model::JobState::Done ? policy::TaskEnd::Done : policy::TaskEnd::Failed;
}

} // namespace

EndReceipt AttemptEndHandler::makeReceipt(const ActiveJob &job, std::uint32_t index)
{
    const ActiveTask &task = job.tasks[index];
    return {task.upstream, {TaskName{job.spec.id, index}.toString(), task.attempt}, !task.endUnreported};
}

AttemptEndHandler::AttemptEndHandler(TermParts &termParts, TaskCommander &taskCommander)
    : parts(termParts)
    , commander(taskCommander)
{
}

void AttemptEndHandler::handleReport(ActiveJob &job, std::uint32_t index, const model::TaskReport &report, base::SteadyTime now)
{
    ActiveTask &task = job.tasks[index];
    if (!mayBeOnUpstream(task.stage) || report.attempt != task.attempt) {
        return;
    }
    if (report.state == model::JobState::NotRun) {
        this->acknowledge(makeReceipt(job, index));
        this->handleNotStarted(job, index);
        return;
    }
    if (model::isFinal(report.state)) {
        const bool failed = report.state != model::JobState::Done;
        this->endAttempt(job, index, report.state, failed ? base::ResultCode::TaskFailed : base::ResultCode::Ok, report.answer, now);
        return;
    }
    if (task.stage != TaskStage::Running) {
        task.stage = TaskStage::Running;
        task.confirmedAt = now;
        this->parts.planner.taskStarted(job.spec.id, index, now);
        if (job.cancelled || job.restarting) {
            this->commander.stop(job, index);
        }
    }
    if (!report.usage.isZero()) {
        this->parts.planner.reportUsage(job.spec.id, index, report.usage, now);
    }
}

void AttemptEndHandler::handleNotStarted(ActiveJob &job, std::uint32_t index)
{
    ActiveTask &task = job.tasks[index];
    task.span.end(base::ResultCode::UpstreamRefused);
    if (job.replicated) {
        TaskChange change = makeTaskChange(job, index, TaskChangeKind::Requeue);
        this->parts.changes.add(change, job.spec.repeatable, [](base::ResultCode) {});
    }
    if (job.restarting) {
        this->handleGangTaskEnd(job, index);
        return;
    }
    this->requeueInPlanner(job, index, policy::TaskEnd::NotStarted);
}

void AttemptEndHandler::requeueInPlanner(ActiveJob &job, std::uint32_t index, policy::TaskEnd end)
{
    const base::SteadyTime now = base::steadyNow();
    ActiveTask &task = job.tasks[index];
    if (job.cancelled) {
        const bool ran = task.failures > 0;
        const model::JobState state = ran ? model::JobState::Failed : model::JobState::NotRun;
        const base::ResultCode code = ran ? base::ResultCode::CancelledWhileRunning : base::ResultCode::CancelledBeforeStart;
        if (!job.replicated) {
            this->recordEnd(job, index, state, code, {}, now);
            return;
        }
        // The store ends a waiting task of a cancelled replicated job when it applies the requeue or cancel command, so no end is proposed here.
        this->parts.planner.taskEnded(job.spec.id, index, end, false, now);
        task.stage = TaskStage::Ended;
        this->finishIfFinal(job.spec.id);
        return;
    }
    task.stage = TaskStage::Waiting;
    this->parts.planner.taskEnded(job.spec.id, index, end, true, now);
    this->parts.requestPlanning();
}

void AttemptEndHandler::handleLost(ActiveJob &job, std::uint32_t index, base::SteadyTime now)
{
    ActiveTask &task = job.tasks[index];
    if (!mayBeOnUpstream(task.stage)) {
        return;
    }
    task.endUnreported = true;
    Logger.warn("Task {}.{} ended without a result because upstream {} was lost or restarted.", job.spec.id, index, task.upstream);
    if (!job.spec.repeatable) {
        this->endAttempt(job, index, model::JobState::Unknown, base::ResultCode::OutcomeUnknown, {}, now);
        return;
    }
    this->endAttempt(job, index, model::JobState::Failed, base::ResultCode::LeaseLost, {}, now);
}

bool AttemptEndHandler::mayRetry(const ActiveJob &job, const ActiveTask &task, base::SteadyTime now)
{
    if (job.cancelled || !job.spec.repeatable || (job.deadlineAt && now >= *job.deadlineAt)) {
        return false;
    }
    if (job.spec.kind == model::JobKind::Service) {
        return true;
    }
    return task.failures + 1 < this->parts.context.options.maxFailures && this->retryBudget.tryTakeRetry();
}

void AttemptEndHandler::endAttempt(
    ActiveJob &job, std::uint32_t index, model::JobState state, base::ResultCode code, const std::string &answer, base::SteadyTime now)
{
    ActiveTask &task = job.tasks[index];
    const bool lostWithUpstream = code == base::ResultCode::LeaseLost;
    countEnd(state);
    task.span.end(code);
    if (state == model::JobState::Done) {
        this->retryBudget.recordSuccess();
        if (job.spec.kind != model::JobKind::Service || job.cancelled) {
            this->recordEnd(job, index, state, code, answer, now);
            return;
        }
    }
    if (job.cancelled) {
        this->recordEnd(job, index, model::JobState::Failed, base::ResultCode::CancelledWhileRunning, answer, now);
        return;
    }
    if (job.restarting) {
        this->handleGangTaskEnd(job, index);
        return;
    }
    if (task.preempting && job.spec.repeatable) {
        this->scheduleRetry(job, index, policy::TaskEnd::Preempted);
        return;
    }
    if (state == model::JobState::Unknown || !this->mayRetry(job, task, now)) {
        this->recordEnd(job, index, state, code, answer, now);
        return;
    }
    if (job.spec.kind == model::JobKind::Gang) {
        this->beginGangRestart(job, index);
        return;
    }
    this->scheduleRetry(job, index, lostWithUpstream ? policy::TaskEnd::Lost : policy::TaskEnd::Failed);
}

void AttemptEndHandler::scheduleRetry(ActiveJob &job, std::uint32_t index, policy::TaskEnd end)
{
    ActiveTask &task = job.tasks[index];
    if (job.replicated) {
        this->proposeRequeue(job, index);
    } else {
        this->acknowledge(makeReceipt(job, index));
    }
    task.failures += 1;
    task.stage = TaskStage::AwaitingRetry;
    const std::uint32_t attempt = task.attempt;
    const bool crashed = end == policy::TaskEnd::Failed;
    const auto delay = crashed ? this->parts.context.options.retryDelay * std::min<std::uint32_t>(task.failures, 10) : std::chrono::milliseconds(0);
    this->parts.context.postInTermAfter(delay, [this, id = job.spec.id, index, attempt, end] {
        if (ActiveTask *retried = this->parts.findAttempt(id, index, attempt); retried != nullptr && retried->stage == TaskStage::AwaitingRetry) {
            this->requeueInPlanner(*this->parts.jobs.find(id), index, end);
        }
    });
}

void AttemptEndHandler::proposeRequeue(ActiveJob &job, std::uint32_t index)
{
    TaskChange change = makeTaskChange(job, index, TaskChangeKind::Requeue);
    change.mayHaveRun = true;
    this->parts.changes.add(change, job.spec.repeatable, [this, receipt = makeReceipt(job, index)](base::ResultCode code) {
        if (code == base::ResultCode::Ok) {
            this->acknowledge(receipt);
        }
    });
}

void AttemptEndHandler::acknowledge(const EndReceipt &receipt)
{
    if (receipt.reported) {
        this->parts.fleet.acknowledge(receipt.upstream, receipt.ended);
    }
}

void AttemptEndHandler::beginGangRestart(ActiveJob &job, std::uint32_t index)
{
    Logger.info("Gang {}: task {} ended early; all its tasks start again.", job.spec.id, index);
    job.restarting = true;
    this->handleGangTaskEnd(job, index);
    this->commander.stopAll(job);
}

/// Records that one task of a restarting gang has ended. After the last one, all of them return to the planner's queue.
void AttemptEndHandler::handleGangTaskEnd(ActiveJob &job, std::uint32_t index)
{
    ActiveTask &ended = job.tasks[index];
    this->proposeRequeue(job, index);
    ended.failures += 1;
    ended.stage = TaskStage::AwaitingRetry;
    const auto busy = [](const ActiveTask &task) { return mayBeOnUpstream(task.stage) || task.stage == TaskStage::Assigning; };
    if (std::any_of(job.tasks.begin(), job.tasks.end(), busy)) {
        return;
    }
    job.restarting = false;
    const model::JobId id = job.spec.id;
    for (std::uint32_t each = 0; each < job.tasks.size(); ++each) {
        if (job.tasks[each].stage == TaskStage::AwaitingRetry) {
            this->requeueInPlanner(job, each, policy::TaskEnd::Lost);
        }
    }
}

void AttemptEndHandler::recordEnd(
    ActiveJob &job, std::uint32_t index, model::JobState state, base::ResultCode code, const std::string &answer, base::SteadyTime now)
{
    ActiveTask &task = job.tasks[index];
    const EndReceipt receipt = makeReceipt(job, index);
    const bool planned = task.stage != TaskStage::Ended;
    task.stage = TaskStage::Ended;
    if (planned) {
        this->parts.planner.taskEnded(job.spec.id, index, toPlannerEnd(state, code), false, now);
        this->parts.requestPlanning();
    }
    if (!job.replicated) {
        this->acknowledge(receipt);
        job.state = state;
        job.code = code;
        job.answer = answer;
        this->parts.jobs.markFinal(job, now);
        return;
    }
    TaskChange change = makeTaskChange(job, index, TaskChangeKind::End);
    change.state = state;
    change.code = code;
    if (answer.size() <= MaxReplicatedAnswerBytes) {
        change.answer = answer;
    }
    this->parts.changes.add(change, job.spec.repeatable, [this, id = job.spec.id, receipt, change](base::ResultCode result) {
        if (result == base::ResultCode::NoDurableStore) {
            // The attempt has ended in any case, so the end is recorded on a majority in memory until a disk is available again.
            this->parts.changes.add(change, true, [this, id, receipt](base::ResultCode) {
                this->acknowledge(receipt);
                this->finishIfFinal(id);
            });
            return;
        }
        this->acknowledge(receipt);
        this->finishIfFinal(id);
    });
    if (job.spec.kind == model::JobKind::Gang && state != model::JobState::Done) {
        this->commander.stopAll(job);
    }
}

void AttemptEndHandler::handleCancelCommitted(ActiveJob &job)
{
    this->endWaitingTasks(job);
    this->stopAll(job);
    this->finishIfFinal(job.spec.id);
}

void AttemptEndHandler::handleRefuseCommitted(ActiveJob &job)
{
    this->endWaitingTasks(job);
    this->finishIfFinal(job.spec.id);
}

void AttemptEndHandler::endWaitingTasks(ActiveJob &job)
{
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        ActiveTask &task = job.tasks[index];
        if (task.stage == TaskStage::AwaitingRetry) {
            this->parts.planner.taskEnded(job.spec.id, index, policy::TaskEnd::Failed, false, base::steadyNow());
        }
        if (task.stage == TaskStage::Waiting || task.stage == TaskStage::AwaitingRetry) {
            task.stage = TaskStage::Ended;
        }
    }
}

void AttemptEndHandler::stopAll(const ActiveJob &job)
{
    this->commander.stopAll(job);
}

void AttemptEndHandler::finishIfFinal(const model::JobId &id)
{
    ActiveJob *job = this->parts.jobs.find(id);
    if (job == nullptr) {
        return;
    }
    if (const auto ended = [](const ActiveTask &task) { return task.stage == TaskStage::Ended; }; !std::all_of(job->tasks.begin(), job->tasks.end(), ended)) {
        return;
    }
    if (const std::optional<JobRecord> record = this->parts.context.store.findJob(id); record && model::isFinal(record->state)) {
        job->code = record->code;
        this->parts.jobs.markFinal(*job, base::steadyNow());
        return;
    }
    // The store has not applied the last change yet.
    this->parts.context.postInTermAfter(StorePollInterval, [this, id] { this->finishIfFinal(id); });
}

} // namespace cranberryreel::zone
