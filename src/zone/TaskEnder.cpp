#include "zone/TaskEnder.h"

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

constexpr std::size_t MaxKeptAnswerBytes = std::size_t{512} * 1024; // A replicated answer has to fit one frame between members.
constexpr std::chrono::milliseconds StoreLookAgainAfter{5};

void count(model::JobState state)
{
    static observe::Counter &done = observe::counter("cranberryreel_tasks_total", "Task attempts ended, by state.", "state=\"done\"");
    static observe::Counter &other = observe::counter("cranberryreel_tasks_total", "Task attempts ended, by state.", "state=\"other\"");
    (state == model::JobState::Done ? done : other).add();
}

policy::TaskEnd plannerEnd(model::JobState state, base::ResultCode code)
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

EndReceipt TaskEnder::receiptOf(const ActiveJob &job, std::uint32_t index)
{
    const ActiveTask &task = job.tasks[index];
    return {task.upstream, {TaskName{job.spec.id, index}.text(), task.attempt}, !task.endUnseen};
}

TaskEnder::TaskEnder(TermParts &termParts, TaskCommander &taskCommander)
    : parts(termParts)
    , commander(taskCommander)
{
}

void TaskEnder::reported(ActiveJob &job, std::uint32_t index, const model::TaskReport &report, base::SteadyTime now)
{
    ActiveTask &task = job.tasks[index];
    if (!isUp(task.stage) || report.attempt != task.attempt) {
        return;
    }
    if (report.state == model::JobState::NotRun) {
        this->acknowledge(receiptOf(job, index));
        this->notStarted(job, index);
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

void TaskEnder::notStarted(ActiveJob &job, std::uint32_t index)
{
    ActiveTask &task = job.tasks[index];
    task.span.end(base::ResultCode::UpstreamRefused);
    if (job.replicated) {
        TaskChange change = changeOf(job, index, TaskChangeKind::Requeue);
        this->parts.changes.add(change, job.spec.repeatable, [](base::ResultCode) {});
    }
    if (job.restarting) {
        this->restartGang(job, index);
        return;
    }
    this->waitAgain(job, index, policy::TaskEnd::NotStarted);
}

void TaskEnder::waitAgain(ActiveJob &job, std::uint32_t index, policy::TaskEnd end)
{
    const base::SteadyTime now = base::steadyNow();
    ActiveTask &task = job.tasks[index];
    if (job.cancelled) {
        const bool ran = task.failures > 0;
        const model::JobState state = ran ? model::JobState::Failed : model::JobState::NotRun;
        const base::ResultCode code = ran ? base::ResultCode::CancelledWhileRunning : base::ResultCode::CancelledBeforeStart;
        if (!job.replicated) {
            this->settleEnd(job, index, state, code, {}, now);
            return;
        }
        // Replicated: the store ends a waiting task of a cancelled job by itself.
        this->parts.planner.taskEnded(job.spec.id, index, end, false, now);
        task.stage = TaskStage::Ended;
        this->endKept(job.spec.id);
        return;
    }
    task.stage = TaskStage::Waiting;
    this->parts.planner.taskEnded(job.spec.id, index, end, true, now);
    this->parts.wantPump();
}

void TaskEnder::lost(ActiveJob &job, std::uint32_t index, base::SteadyTime now)
{
    ActiveTask &task = job.tasks[index];
    if (!isUp(task.stage)) {
        return;
    }
    task.endUnseen = true;
    Logger.warn("Task {}.{} was lost with upstream {}.", job.spec.id, index, task.upstream);
    if (!job.spec.repeatable) {
        this->endAttempt(job, index, model::JobState::Unknown, base::ResultCode::OutcomeUnknown, {}, now);
        return;
    }
    this->endAttempt(job, index, model::JobState::Failed, base::ResultCode::LeaseLost, {}, now);
}

bool TaskEnder::mayRunAgain(const ActiveJob &job, const ActiveTask &task, base::SteadyTime now)
{
    if (job.cancelled || !job.spec.repeatable || (job.deadlineAt && now >= *job.deadlineAt)) {
        return false;
    }
    if (job.spec.kind == model::JobKind::Service) {
        return true;
    }
    return task.failures + 1 < this->parts.context.options.maxFailures && this->retries.tryTakeRetry();
}

void TaskEnder::endAttempt(ActiveJob &job, std::uint32_t index, model::JobState state, base::ResultCode code, const std::string &answer, base::SteadyTime now)
{
    ActiveTask &task = job.tasks[index];
    const bool lostWithUpstream = code == base::ResultCode::LeaseLost;
    count(state);
    task.span.end(code);
    if (state == model::JobState::Done) {
        this->retries.recordSuccess();
        if (job.spec.kind != model::JobKind::Service || job.cancelled) {
            this->settleEnd(job, index, state, code, answer, now);
            return;
        }
    }
    if (job.cancelled) {
        this->settleEnd(job, index, model::JobState::Failed, base::ResultCode::CancelledWhileRunning, answer, now);
        return;
    }
    if (job.restarting) {
        this->restartGang(job, index);
        return;
    }
    if (task.preempting && job.spec.repeatable) {
        this->runAgain(job, index, policy::TaskEnd::Preempted);
        return;
    }
    if (state == model::JobState::Unknown || !this->mayRunAgain(job, task, now)) {
        this->settleEnd(job, index, state, code, answer, now);
        return;
    }
    if (job.spec.kind == model::JobKind::Gang) {
        this->failGang(job, index);
        return;
    }
    this->runAgain(job, index, lostWithUpstream ? policy::TaskEnd::Lost : policy::TaskEnd::Failed);
}

void TaskEnder::runAgain(ActiveJob &job, std::uint32_t index, policy::TaskEnd end)
{
    ActiveTask &task = job.tasks[index];
    if (job.replicated) {
        this->requeue(job, index);
    } else {
        this->acknowledge(receiptOf(job, index));
    }
    task.failures += 1;
    task.stage = TaskStage::Held;
    const std::uint32_t attempt = task.attempt;
    const bool crashed = end == policy::TaskEnd::Failed;
    const auto delay = crashed ? this->parts.context.options.retryDelay * std::min<std::uint32_t>(task.failures, 10) : std::chrono::milliseconds(0);
    this->parts.context.guardAfter(delay, [this, id = job.spec.id, index, attempt, end] {
        if (ActiveTask *held = this->parts.attempt(id, index, attempt); held != nullptr && held->stage == TaskStage::Held) {
            this->waitAgain(*this->parts.jobs.find(id), index, end);
        }
    });
}

void TaskEnder::requeue(ActiveJob &job, std::uint32_t index)
{
    TaskChange change = changeOf(job, index, TaskChangeKind::Requeue);
    change.mayHaveRun = true;
    this->parts.changes.add(change, job.spec.repeatable, [this, receipt = receiptOf(job, index)](base::ResultCode code) {
        if (code == base::ResultCode::Ok) {
            this->acknowledge(receipt);
        }
    });
}

void TaskEnder::acknowledge(const EndReceipt &receipt)
{
    if (receipt.seen) {
        this->parts.fleet.acknowledge(receipt.upstream, receipt.ended);
    }
}

void TaskEnder::failGang(ActiveJob &job, std::uint32_t index)
{
    Logger.info("Gang {} lost task {}; all its tasks start again.", job.spec.id, index);
    job.restarting = true;
    this->restartGang(job, index);
    this->commander.stopAll(job);
}

/// One task of a restarting gang has ended; once all have, they wait together again.
void TaskEnder::restartGang(ActiveJob &job, std::uint32_t index)
{
    ActiveTask &ended = job.tasks[index];
    this->requeue(job, index);
    ended.failures += 1;
    ended.stage = TaskStage::Held;
    const auto busy = [](const ActiveTask &task) { return isUp(task.stage) || task.stage == TaskStage::Assigning; };
    if (std::any_of(job.tasks.begin(), job.tasks.end(), busy)) {
        return;
    }
    job.restarting = false;
    const model::JobId id = job.spec.id;
    for (std::uint32_t each = 0; each < job.tasks.size(); ++each) {
        if (job.tasks[each].stage == TaskStage::Held) {
            this->waitAgain(job, each, policy::TaskEnd::Lost);
        }
    }
}

void TaskEnder::settleEnd(ActiveJob &job, std::uint32_t index, model::JobState state, base::ResultCode code, const std::string &answer, base::SteadyTime now)
{
    ActiveTask &task = job.tasks[index];
    const EndReceipt receipt = receiptOf(job, index);
    const bool planned = task.stage != TaskStage::Ended;
    task.stage = TaskStage::Ended;
    if (planned) {
        this->parts.planner.taskEnded(job.spec.id, index, plannerEnd(state, code), false, now);
        this->parts.wantPump();
    }
    if (!job.replicated) {
        this->acknowledge(receipt);
        job.state = state;
        job.code = code;
        job.answer = answer;
        this->parts.jobs.finish(job, now);
        return;
    }
    TaskChange change = changeOf(job, index, TaskChangeKind::End);
    change.state = state;
    change.code = code;
    if (answer.size() <= MaxKeptAnswerBytes) {
        change.answer = answer;
    }
    this->parts.changes.add(change, job.spec.repeatable, [this, id = job.spec.id, receipt, change](base::ResultCode kept) {
        if (kept == base::ResultCode::NoDurableStore) {
            // The end is a fact already; a majority's memory is the best there is until a disk is back.
            this->parts.changes.add(change, true, [this, id, receipt](base::ResultCode) {
                this->acknowledge(receipt);
                this->endKept(id);
            });
            return;
        }
        this->acknowledge(receipt);
        this->endKept(id);
    });
    if (job.spec.kind == model::JobKind::Gang && state != model::JobState::Done) {
        this->commander.stopAll(job);
    }
}

void TaskEnder::cancelled(ActiveJob &job)
{
    this->endWaiting(job);
    this->stopAll(job);
    this->endKept(job.spec.id);
}

void TaskEnder::refused(ActiveJob &job)
{
    this->endWaiting(job);
    this->endKept(job.spec.id);
}

void TaskEnder::endWaiting(ActiveJob &job)
{
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        ActiveTask &task = job.tasks[index];
        if (task.stage == TaskStage::Held) {
            this->parts.planner.taskEnded(job.spec.id, index, policy::TaskEnd::Failed, false, base::steadyNow());
        }
        if (task.stage == TaskStage::Waiting || task.stage == TaskStage::Held) {
            task.stage = TaskStage::Ended;
        }
    }
}

void TaskEnder::stopAll(const ActiveJob &job)
{
    this->commander.stopAll(job);
}

void TaskEnder::endKept(const model::JobId &id)
{
    ActiveJob *job = this->parts.jobs.find(id);
    if (job == nullptr) {
        return;
    }
    if (const auto ended = [](const ActiveTask &task) { return task.stage == TaskStage::Ended; }; !std::all_of(job->tasks.begin(), job->tasks.end(), ended)) {
        return;
    }
    if (const std::optional<JobRecord> kept = this->parts.context.store.job(id); kept && model::isFinal(kept->state)) {
        job->code = kept->code;
        this->parts.jobs.finish(*job, base::steadyNow());
        return;
    }
    // The store has yet to apply the last step.
    this->parts.context.guardAfter(StoreLookAgainAfter, [this, id] { this->endKept(id); });
}

} // namespace cranberryreel::zone
