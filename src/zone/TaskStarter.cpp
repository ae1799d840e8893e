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

constexpr std::chrono::milliseconds AskAgainAfter{300};
constexpr std::chrono::milliseconds NoStoreDelay{500};

} // namespace

TaskStarter::TaskStarter(TermParts &termParts, TaskEnder &taskEnder)
    : parts(termParts)
    , ender(taskEnder)
{
}

void TaskStarter::place(const policy::Decision &decision, base::SteadyTime now)
{
    static observe::Counter &placements = observe::counter("cranberryreel_placements_total", "Tasks placed on an upstream.");
    static observe::DurationHistogram &waits = observe::durations("cranberryreel_wait_seconds", "From acceptance to placement.");
    ActiveJob *job = this->parts.jobs.find(decision.job);
    if (job == nullptr || decision.task >= job->tasks.size() || job->tasks[decision.task].stage != TaskStage::Waiting) {
        Logger.warn("Placed task {} of {} does not wait.", decision.task, decision.job);
        this->parts.planner.ended(decision.job, decision.task, policy::TaskEnd::Lost, false, now);
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
    task.endUnseen = false;
    this->parts.placed.note(task.upstream, {job->spec.id, decision.task});
    placements.add();
    waits.record(now - job->acceptedAt);
    if (job->submitting) {
        job->heldStarts.push_back(decision.task);
        return;
    }
    if (!job->replicated) {
        this->send(*job, decision.task);
        return;
    }
    this->parts.changes.add(
        changeOf(*job, decision.task, TaskChangeKind::Assign),
        job->spec.repeatable,
        [this, id = decision.job, index = decision.task, attempt = task.attempt](base::ResultCode code) { this->assigned(id, index, attempt, code); });
}

void TaskStarter::releaseHeld(ActiveJob &job, base::SteadyTime now)
{
    for (const std::uint32_t index : std::exchange(job.heldStarts, {})) {
        ActiveTask &task = job.tasks[index];
        const policy::Decision again{policy::DecisionKind::Start, job.spec.id, index, task.upstream, task.reserved, base::ResultCode::Ok, {}};
        task.stage = TaskStage::Waiting;
        task.attempt -= 1;
        this->place(again, now);
    }
}

void TaskStarter::assigned(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, base::ResultCode code)
{
    ActiveTask *task = this->parts.attempt(id, index, attempt);
    if (task == nullptr || task->stage != TaskStage::Assigning) {
        return;
    }
    ActiveJob &job = *this->parts.jobs.find(id);
    if (code == base::ResultCode::Ok) {
        this->send(job, index);
        return;
    }
    task->attempt -= 1;
    if (code == base::ResultCode::NoDurableStore) {
        // Provably not recorded. The place stays reserved for a moment, so that the planner does not try again at once and for ever.
        this->parts.context.guardAfter(NoStoreDelay, [this, id, index, before = attempt - 1] {
            if (ActiveTask *waiting = this->parts.attempt(id, index, before); waiting != nullptr && waiting->stage == TaskStage::Assigning) {
                this->ender.waitAgain(*this->parts.jobs.find(id), index, policy::TaskEnd::NotStarted);
            }
        });
        return;
    }
    this->ender.waitAgain(job, index, policy::TaskEnd::NotStarted);
}

upstream::StartRequest TaskStarter::orderOf(const ActiveJob &job, std::uint32_t index, base::SteadyTime now) const
{
    const SchedulerOptions &options = this->parts.context.options;
    const ActiveTask &task = job.tasks[index];
    upstream::StartRequest order;
    order.taskId = TaskName{job.spec.id, index}.text();
    order.attempt = task.attempt;
    order.epoch = this->parts.context.epoch;
    order.boot = task.boot;
    order.expiresIn = options.startExpiry;
    order.lease = options.taskLease;
    order.kind = job.spec.kind;
    order.partner = job.spec.partner;
    order.name = job.spec.name;
    order.reserved = task.reserved;
    order.payload = job.spec.payload;
    if (job.spec.kind == model::JobKind::Request) {
        order.waitForEnd = options.holdAnswer;
        if (job.deadlineAt) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*job.deadlineAt - now);
            order.waitForEnd = std::clamp(left, std::chrono::milliseconds(0), options.holdAnswer);
        }
    }
    return order;
}

void TaskStarter::send(ActiveJob &job, std::uint32_t index)
{
    const base::SteadyTime now = base::steadyNow();
    ActiveTask &task = job.tasks[index];
    const UpstreamEntry *upstream = this->parts.fleet.find(task.upstream);
    if (upstream == nullptr || !upstream->accepting || upstream->record.boot != task.boot || job.cancelled) {
        task.stage = TaskStage::Starting;
        this->ender.notStarted(job, index);
        return;
    }
    if (!this->parts.context.mayAct()) {
        // Leadership is ending; the next scheduler finds the record and asks the upstream.
        task.stage = TaskStage::Resolving;
        return;
    }
    task.stage = TaskStage::Starting;
    task.span = observe::Span("upstream.start", job.span.traceparent());
    task.span.set("work.id", job.spec.id);
    task.span.set("upstream", task.upstream);
    const upstream::StartRequest order = this->orderOf(job, index, now);
    this->parts.fleet.leaseSent(task.upstream, now);
    this->parts.context.adapter.start(
        upstream->record.address,
        order,
        order.waitForEnd + this->parts.context.options.callLimit,
        task.span.traceparent(),
        [this, id = job.spec.id, index, attempt = task.attempt, guard = this->parts.context.guard](const upstream::TaskAnswer &answer) {
            guard([this, id, index, attempt, answer] { this->startAnswered(id, index, attempt, answer); });
        });
}

void TaskStarter::startAnswered(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, const upstream::TaskAnswer &answer)
{
    ActiveTask *task = this->parts.attempt(id, index, attempt);
    if (task == nullptr || task->stage != TaskStage::Starting) {
        return;
    }
    ActiveJob &job = *this->parts.jobs.find(id);
    const base::SteadyTime now = base::steadyNow();
    switch (answer.code) {
    case base::ResultCode::Ok:
        this->ender.reported(job, index, answer.report, now);
        return;
    case base::ResultCode::UpstreamRefused:
    case base::ResultCode::UpstreamStaleEpoch:
        this->parts.fleet.suspect(task->upstream, now);
        this->ender.notStarted(job, index);
        return;
    default:
        this->parts.fleet.suspect(task->upstream, now);
        if (answer.sent) {
            this->doubt(job, index);
        } else {
            this->ender.notStarted(job, index);
        }
    }
}

void TaskStarter::doubt(ActiveJob &job, std::uint32_t index)
{
    ActiveTask &task = job.tasks[index];
    Logger.warn("No answer to the start of {}.{} on {}.", job.spec.id, index, task.upstream);
    task.stage = TaskStage::Doubtful;
    this->ask(job.spec.id, index, task.attempt, false);
}

void TaskStarter::ask(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, bool barred)
{
    const ActiveTask *task = this->parts.attempt(id, index, attempt);
    const UpstreamEntry *upstream = task != nullptr ? this->parts.fleet.find(task->upstream) : nullptr;
    if (upstream == nullptr || task->stage != TaskStage::Doubtful) {
        return;
    }
    this->parts.context.adapter.queryTask(upstream->record.address,
                                          TaskName{id, index}.text(),
                                          this->parts.context.options.callLimit,
                                          [this, id, index, attempt, barred, guard = this->parts.context.guard](const upstream::TaskAnswer &answer) {
                                              guard([this, id, index, attempt, barred, answer] { this->asked(id, index, attempt, barred, answer); });
                                          });
}

void TaskStarter::asked(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, bool barred, const upstream::TaskAnswer &answer)
{
    ActiveTask *task = this->parts.attempt(id, index, attempt);
    if (task == nullptr || task->stage != TaskStage::Doubtful) {
        return;
    }
    ActiveJob &job = *this->parts.jobs.find(id);
    const bool answered = answer.code == base::ResultCode::Ok;
    if (answered && answer.report.attempt == attempt) {
        this->ender.reported(job, index, answer.report, base::steadyNow());
        return;
    }
    const bool onlyEarlierAttempt = answered && model::isFinal(answer.report.state);
    if (answer.code == base::ResultCode::NotFound || onlyEarlierAttempt) {
        if (barred) {
            this->ender.notStarted(job, index);
        } else {
            this->bar(id, index, attempt);
        }
        return;
    }
    this->parts.context.guardAfter(AskAgainAfter, [this, id, index, attempt, barred] { this->ask(id, index, attempt, barred); });
}

/// Has the upstream refuse the attempt should its start arrive late, then asks once more after the longest delivery.
void TaskStarter::bar(const model::JobId &id, std::uint32_t index, std::uint32_t attempt)
{
    const ActiveTask *task = this->parts.attempt(id, index, attempt);
    const UpstreamEntry *upstream = task != nullptr ? this->parts.fleet.find(task->upstream) : nullptr;
    if (upstream == nullptr) {
        return;
    }
    this->parts.context.adapter.command(upstream->record.address,
                                        TaskName{id, index}.text(),
                                        attempt,
                                        upstream::TaskCommand::Stop,
                                        this->parts.context.epoch,
                                        this->parts.context.options.callLimit,
                                        [this, id, index, attempt, guard = this->parts.context.guard](const upstream::TaskAnswer &answer) {
                                            guard([this, id, index, attempt, code = answer.code] {
                                                const bool reached = code == base::ResultCode::Ok || code == base::ResultCode::NotFound;
                                                const SchedulerOptions &options = this->parts.context.options;
                                                const auto delay = reached ? options.deliveryMargin : AskAgainAfter;
                                                this->parts.context.guardAfter(delay,
                                                                               [this, id, index, attempt, reached] { this->ask(id, index, attempt, reached); });
                                            });
                                        });
}

} // namespace cranberryreel::zone
