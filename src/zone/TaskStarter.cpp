#include "zone/TaskStarter.h"

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

constexpr std::chrono::milliseconds QueryRetryDelay{300};
constexpr std::chrono::milliseconds NoDurableStoreDelay{500};

} // namespace

TaskStarter::TaskStarter(TermParts &termParts, AttemptEndHandler &attemptEndHandler)
    : parts(termParts)
    , endHandler(attemptEndHandler)
{
}

void TaskStarter::place(const policy::Decision &decision, base::SteadyTime now)
{
    static observe::Counter &placements = observe::counter("cranberryreel_placements_total", "Tasks placed on an upstream.");
    static observe::DurationHistogram &waits = observe::durations("cranberryreel_wait_seconds", "From acceptance to placement.");
    ActiveJob *job = this->parts.jobs.find(decision.job);
    if (job == nullptr || decision.task >= job->tasks.size() || job->tasks[decision.task].stage != TaskStage::Waiting) {
        Logger.warn("The planner placed task {} of job {}, which is not waiting.", decision.task, decision.job);
        this->parts.planner.taskEnded(decision.job, decision.task, policy::TaskEnd::Lost, false, now);
        return;
    }
    ActiveTask &task = job->tasks[decision.task];
    const UpstreamEntry *upstream = this->parts.fleet.find(decision.upstream);
    task.stage = TaskStage::Assigning;
    task.attempt += 1;
    task.upstream = decision.upstream;
    task.boot = upstream != nullptr ? upstream->record.boot : std::string();
    task.reserved = decision.reserved;
    task.preempting = false;
    task.endUnreported = false;
    this->parts.placementIndex.add(task.upstream, {job->spec.id, decision.task});
    placements.add();
    waits.record(now - job->acceptedAt);
    if (job->commitPending) {
        job->deferredStarts.push_back(decision.task);
        return;
    }
    if (!job->replicated) {
        this->sendStart(*job, decision.task);
        return;
    }
    this->parts.changes.add(makeTaskChange(*job, decision.task, TaskChangeKind::Assign),
                            job->spec.repeatable,
                            [this, id = decision.job, index = decision.task, attempt = task.attempt](base::ResultCode code) {
                                this->handleAssignResult(id, index, attempt, code);
                            });
}

void TaskStarter::startDeferred(ActiveJob &job, base::SteadyTime now)
{
    for (const std::uint32_t index : std::exchange(job.deferredStarts, {})) {
        ActiveTask &task = job.tasks[index];
        const policy::Decision deferred{policy::DecisionKind::Start, job.spec.id, index, task.upstream, task.reserved, base::ResultCode::Ok, {}};
        task.stage = TaskStage::Waiting;
        task.attempt -= 1;
        this->place(deferred, now);
    }
}

void TaskStarter::handleAssignResult(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, base::ResultCode code)
{
    ActiveTask *task = this->parts.findAttempt(id, index, attempt);
    if (task == nullptr || task->stage != TaskStage::Assigning) {
        return;
    }
    ActiveJob &job = *this->parts.jobs.find(id);
    if (code == base::ResultCode::Ok) {
        this->sendStart(job, index);
        return;
    }
    task->attempt -= 1;
    if (code == base::ResultCode::NoDurableStore) {
        // The assignment was provably not committed. The placement stays reserved for a moment, so that the planner does not retry in a tight loop.
        this->parts.context.postInTermAfter(NoDurableStoreDelay, [this, id, index, before = attempt - 1] {
            if (ActiveTask *waiting = this->parts.findAttempt(id, index, before); waiting != nullptr && waiting->stage == TaskStage::Assigning) {
                this->endHandler.requeueInPlanner(*this->parts.jobs.find(id), index, policy::TaskEnd::NotStarted);
            }
        });
        return;
    }
    this->endHandler.requeueInPlanner(job, index, policy::TaskEnd::NotStarted);
}

upstream::StartRequest TaskStarter::makeStartRequest(const ActiveJob &job, std::uint32_t index, base::SteadyTime now) const
{
    const SchedulerOptions &options = this->parts.context.options;
    const ActiveTask &task = job.tasks[index];
    upstream::StartRequest request;
    request.taskId = TaskName{job.spec.id, index}.toString();
    request.attempt = task.attempt;
    request.epoch = this->parts.context.epoch;
    request.boot = task.boot;
    request.expiresIn = options.startExpiry;
    request.lease = options.taskLease;
    request.kind = job.spec.kind;
    request.partner = job.spec.partner;
    request.name = job.spec.name;
    request.reserved = task.reserved;
    request.payload = job.spec.payload;
    if (job.spec.kind == model::JobKind::Request) {
        request.waitForEnd = options.maxAnswerHold;
        if (job.deadlineAt) {
            const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(*job.deadlineAt - now);
            request.waitForEnd = std::clamp(remaining, std::chrono::milliseconds(0), options.maxAnswerHold);
        }
    }
    return request;
}

void TaskStarter::sendStart(ActiveJob &job, std::uint32_t index)
{
    const base::SteadyTime now = base::steadyNow();
    ActiveTask &task = job.tasks[index];
    const UpstreamEntry *upstream = this->parts.fleet.find(task.upstream);
    if (upstream == nullptr || !upstream->accepting || upstream->record.boot != task.boot || job.cancelled) {
        task.stage = TaskStage::Starting;
        this->endHandler.handleNotStarted(job, index);
        return;
    }
    if (!this->parts.context.holdsLeaderLease()) {
        // The leader lease has expired; the next leader finds the record and queries the upstream.
        task.stage = TaskStage::AwaitingReadBack;
        return;
    }
    task.stage = TaskStage::Starting;
    task.span = observe::Span("upstream.start", job.span.traceparent());
    task.span.set("work.id", job.spec.id);
    task.span.set("upstream", task.upstream);
    const upstream::StartRequest request = this->makeStartRequest(job, index, now);
    this->parts.fleet.noteLeaseSent(task.upstream, now);
    this->parts.context.adapter.start(
        upstream->record.address,
        request,
        request.waitForEnd + this->parts.context.options.callTimeout,
        task.span.traceparent(),
        [this, id = job.spec.id, index, attempt = task.attempt, postInTerm = this->parts.context.postInTerm](const upstream::TaskAnswer &answer) {
            postInTerm([this, id, index, attempt, answer] { this->handleStartAnswer(id, index, attempt, answer); });
        });
}

void TaskStarter::handleStartAnswer(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, const upstream::TaskAnswer &answer)
{
    ActiveTask *task = this->parts.findAttempt(id, index, attempt);
    if (task == nullptr || task->stage != TaskStage::Starting) {
        return;
    }
    ActiveJob &job = *this->parts.jobs.find(id);
    const base::SteadyTime now = base::steadyNow();
    switch (answer.code) {
    case base::ResultCode::Ok:
        this->endHandler.handleReport(job, index, answer.report, now);
        return;
    case base::ResultCode::UpstreamRefused:
    case base::ResultCode::UpstreamStaleEpoch:
        this->parts.fleet.markSuspect(task->upstream, now);
        this->endHandler.handleNotStarted(job, index);
        return;
    default:
        this->parts.fleet.markSuspect(task->upstream, now);
        if (answer.sent) {
            this->handleUnansweredStart(job, index);
        } else {
            this->endHandler.handleNotStarted(job, index);
        }
    }
}

void TaskStarter::handleUnansweredStart(ActiveJob &job, std::uint32_t index)
{
    ActiveTask &task = job.tasks[index];
    Logger.warn("No answer to the start request for task {}.{} on upstream {}; querying the upstream.", job.spec.id, index, task.upstream);
    task.stage = TaskStage::StartUnconfirmed;
    this->queryTask(job.spec.id, index, task.attempt, std::nullopt);
}

void TaskStarter::queryTask(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, std::optional<base::SteadyTime> blockedAt)
{
    const ActiveTask *task = this->parts.findAttempt(id, index, attempt);
    const UpstreamEntry *upstream = task != nullptr ? this->parts.fleet.find(task->upstream) : nullptr;
    if (upstream == nullptr || task->stage != TaskStage::StartUnconfirmed) {
        return;
    }
    this->parts.context.adapter.queryTask(
        upstream->record.address,
        TaskName{id, index}.toString(),
        this->parts.context.options.callTimeout,
        [this, id, index, attempt, blockedAt, postInTerm = this->parts.context.postInTerm](const upstream::TaskAnswer &answer) {
            postInTerm([this, id, index, attempt, blockedAt, answer] { this->handleQueryAnswer(id, index, attempt, blockedAt, answer); });
        });
}

void TaskStarter::handleQueryAnswer(
    const model::JobId &id, std::uint32_t index, std::uint32_t attempt, std::optional<base::SteadyTime> blockedAt, const upstream::TaskAnswer &answer)
{
    ActiveTask *task = this->parts.findAttempt(id, index, attempt);
    if (task == nullptr || task->stage != TaskStage::StartUnconfirmed) {
        return;
    }
    ActiveJob &job = *this->parts.jobs.find(id);
    const bool answered = answer.code == base::ResultCode::Ok;
    if (answered && answer.report.attempt == attempt) {
        this->endHandler.handleReport(job, index, answer.report, base::steadyNow());
        return;
    }
    const bool onlyEarlierAttempt = answered && model::isFinal(answer.report.state);
    if (answer.code == base::ResultCode::NotFound || onlyEarlierAttempt) {
        if (!blockedAt) {
            this->blockLateStart(id, index, attempt);
            return;
        }
        // The answers name no boot. Those of the next one prove nothing about the boot that the start was sent to.
        const UpstreamEntry *upstream = this->parts.fleet.find(task->upstream);
        if (upstream != nullptr && upstream->record.boot == task->boot && upstream->bootConfirmedAt >= *blockedAt) {
            this->endHandler.handleNotStarted(job, index);
            return;
        }
        this->parts.fleet.renewSoon(task->upstream, base::steadyNow());
    }
    this->parts.context.postInTermAfter(QueryRetryDelay, [this, id, index, attempt, blockedAt] { this->queryTask(id, index, attempt, blockedAt); });
}

/// Sends a stop request, which makes the upstream refuse a start request of this attempt that arrives late. Queries the task again after the longest delivery
/// time.
void TaskStarter::blockLateStart(const model::JobId &id, std::uint32_t index, std::uint32_t attempt)
{
    const ActiveTask *task = this->parts.findAttempt(id, index, attempt);
    const UpstreamEntry *upstream = task != nullptr ? this->parts.fleet.find(task->upstream) : nullptr;
    if (upstream == nullptr) {
        return;
    }
    this->parts.context.adapter.command(upstream->record.address,
                                        TaskName{id, index}.toString(),
                                        attempt,
                                        upstream::TaskCommand::Stop,
                                        this->parts.context.epoch,
                                        this->parts.context.options.callTimeout,
                                        [this, id, index, attempt, postInTerm = this->parts.context.postInTerm](const upstream::TaskAnswer &answer) {
                                            postInTerm([this, id, index, attempt, code = answer.code] {
                                                const base::SteadyTime now = base::steadyNow();
                                                const bool reached = code == base::ResultCode::Ok || code == base::ResultCode::NotFound;
                                                const auto blockedAt = reached ? std::make_optional(now) : std::nullopt;
                                                const SchedulerOptions &options = this->parts.context.options;
                                                const auto delay = reached ? options.deliveryMargin : QueryRetryDelay;
                                                if (const ActiveTask *blocked = this->parts.findAttempt(id, index, attempt); reached && blocked != nullptr) {
                                                    this->parts.fleet.renewSoon(blocked->upstream, now);
                                                }
                                                this->parts.context.postInTermAfter(
                                                    delay, [this, id, index, attempt, blockedAt] { this->queryTask(id, index, attempt, blockedAt); });
                                            });
                                        });
}

} // namespace cranberryreel::zone
