#include "zone/Submissions.h"

#include "observe/Log.h"
#include "zone/CallCodec.h"
#include "zone/Commands.h"
#include "zone/UnixTime.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::zone
{

namespace
{

const observe::Log Logger("zone.work");

constexpr std::chrono::milliseconds LookAgainAfter{50};
constexpr std::chrono::milliseconds LongestWait{300000};
constexpr std::chrono::milliseconds DeadlineSlack{150}; // Leaves the group time to keep that the deadline has passed.

bool isReplicated(const model::JobSpec &spec)
{
    return spec.kind != model::JobKind::Request || !spec.repeatable || !spec.key.empty();
}

std::string keyOf(const model::JobSpec &spec)
{
    return spec.partner + '\n' + spec.key;
}

} // namespace

Submissions::Submissions(TermParts &termParts, TaskStarter &taskStarter, TaskEnder &taskEnder, JobCloser &jobCloser)
    : parts(termParts)
    , starter(taskStarter)
    , ender(taskEnder)
    , closer(jobCloser)
    , status(termParts.jobs, termParts.context.store)
{
}

void Submissions::submit(const SubmitCall &call, const std::string &traceparent, const Reply &reply)
{
    if (this->joinKnown(call, reply)) {
        return;
    }
    if (call.mayExist && !isReplicated(call.spec) && !this->parts.fleet.recovered()) {
        this->parkUntilRecovered(call, traceparent, reply);
        return;
    }
    this->takeIn(call, traceparent, reply);
}

bool Submissions::joinKnown(const SubmitCall &call, const Reply &reply)
{
    if (ActiveJob *job = this->parts.jobs.find(call.spec.id)) {
        if (job->inherited) {
            job->inherited = false;
            job->spec.partner = call.spec.partner;
            job->spec.name = call.spec.name;
            job->spec.payload = call.spec.payload;
        }
        if (job->spec.kind != model::JobKind::Request && !job->submitting) {
            reply(this->status.of(call.spec.id));
        } else {
            this->awaitOutcome(*job, base::steadyNow() + call.spec.deadline + DeadlineSlack, StillOpen::TellUnknown, reply);
        }
        return true;
    }
    if (!isReplicated(call.spec)) {
        return false;
    }
    if (this->parts.context.store.job(call.spec.id)) {
        reply(this->status.of(call.spec.id));
        return true;
    }
    if (call.spec.key.empty()) {
        return false;
    }
    if (const auto onTheWay = this->keysOnTheWay.find(keyOf(call.spec)); onTheWay != this->keysOnTheWay.end()) {
        this->joinKey(onTheWay->second, call, reply);
        return true;
    }
    if (const auto known = this->parts.context.store.jobOfKey(call.spec.partner, call.spec.key)) {
        this->joinKey(*known, call, reply);
        return true;
    }
    return false;
}

void Submissions::joinKey(const model::JobId &id, const SubmitCall &call, const Reply &reply)
{
    const ActiveJob *active = this->parts.jobs.find(id);
    const std::optional<JobRecord> record = this->parts.context.store.job(id);
    const model::JobSpec *spec = active != nullptr ? &active->spec : record ? &record->spec : nullptr;
    if (spec == nullptr || !sameWork(*spec, call.spec)) {
        reply(failureReply(base::ResultCode::KeyReusedForOtherWork, "the idempotency key stands for other work already; choose a new key"));
        return;
    }
    if (active != nullptr && (spec->kind == model::JobKind::Request || active->submitting)) {
        this->awaitOutcome(*this->parts.jobs.find(id), base::steadyNow() + call.spec.deadline + DeadlineSlack, StillOpen::TellUnknown, reply);
        return;
    }
    reply(this->status.of(id));
}

void Submissions::parkUntilRecovered(SubmitCall call, const std::string &traceparent, const Reply &reply)
{
    if (call.spec.deadline <= LookAgainAfter) {
        reply(unknownReply(call.spec, "the zone is still finding out what runs; ask again by id"));
        return;
    }
    call.spec.deadline -= LookAgainAfter;
    this->parts.context.guardAfter(LookAgainAfter, [this, call, traceparent, reply] {
        if (this->resigning) {
            return;
        }
        this->submit(call, traceparent, reply);
    });
}

void Submissions::takeIn(const SubmitCall &call, const std::string &traceparent, const Reply &reply)
{
    const base::SteadyTime now = base::steadyNow();
    const bool replicated = isReplicated(call.spec);
    if (replicated && this->parts.context.store.jobCount() >= this->parts.context.options.maxJobs) {
        reply(notRunReply(call.spec, base::ResultCode::QueueFull, "the zone keeps as many jobs as it may"));
        return;
    }
    if (const policy::Decision decision = this->parts.planner.enqueue(call.spec, now); decision.code != base::ResultCode::Ok) {
        reply(call.mayExist && !replicated ? unknownReply(call.spec, decision.reason) : notRunReply(call.spec, decision.code, decision.reason));
        return;
    }
    ActiveJob &job = this->parts.jobs.add(call.spec, replicated, now);
    job.mayHaveRun = call.mayExist && !replicated;
    job.traceparent = traceparent;
    job.span = observe::Span("zone.work", traceparent);
    job.span.set("work.id", job.spec.id);
    this->closer.watchDeadline(job);
    if (replicated) {
        this->keep(job, reply);
    } else {
        this->awaitOutcome(job, now + job.spec.deadline + DeadlineSlack, StillOpen::TellUnknown, reply);
    }
    this->parts.wantPump();
}

void Submissions::keep(ActiveJob &job, const Reply &reply)
{
    job.submitting = true;
    if (!job.spec.key.empty()) {
        this->keysOnTheWay[keyOf(job.spec)] = job.spec.id;
    }
    if (job.spec.kind == model::JobKind::Request) {
        this->awaitOutcome(job, base::steadyNow() + job.spec.deadline + DeadlineSlack, StillOpen::TellUnknown, reply);
    }
    const Reply jobReply = job.spec.kind == model::JobKind::Request ? Reply() : reply;
    this->parts.context.group.propose(submitCommand(job.spec, unixNow()),
                                      replication::Durability::SyncedDisk,
                                      [this, id = job.spec.id, jobReply, guard = this->parts.context.guard](const replication::ProposeResult &result) {
                                          guard([this, id, result, jobReply] { this->kept(id, result, jobReply); });
                                      });
}

void Submissions::kept(const model::JobId &id, const replication::ProposeResult &result, const Reply &reply)
{
    ActiveJob *job = this->parts.jobs.find(id);
    if (job == nullptr) {
        return;
    }
    this->keysOnTheWay.erase(keyOf(job->spec));
    if (result.code == base::ResultCode::Ok && SubmitOutcome::decode(result.result).verdict == SubmitVerdict::Kept) {
        job->submitting = false;
        if (reply) {
            reply(this->status.of(id));
        }
        this->starter.releaseHeld(*job, base::steadyNow());
        if (job->cancelled) {
            this->cancelKept(id, [](const ZoneReply &) {});
        }
        return;
    }
    if (result.code == base::ResultCode::GroupUnavailable) {
        // It may be kept still; the caller submits the same id to the next scheduler, who knows.
        ZoneReply elsewhere = failureReply(base::ResultCode::NotLeader, "the zone's scheduler is changing");
        elsewhere.mayExist = true;
        if (reply) {
            reply(elsewhere);
        }
        return;
    }
    if (result.code == base::ResultCode::NotLeader) {
        this->moveOn(*job, reply);
        return;
    }
    const bool kept = result.code == base::ResultCode::Ok;
    const base::ResultCode code = kept ? base::ResultCode::KeyReusedForOtherWork : result.code;
    const std::string reason = code == base::ResultCode::NoDurableStore ? "no synced disk in reach could keep it" : "the zone could not keep it";
    if (reply) {
        reply(notRunReply(job->spec, code, reason));
    }
    this->closer.drop(*job, code, reason);
}

/// Nothing of the job was kept, and another scheduler is to take it.
void Submissions::moveOn(ActiveJob &job, const Reply &reply)
{
    const model::JobId id = job.spec.id;
    this->parts.planner.cancel(id, base::steadyNow());
    for (const std::uint32_t index : std::exchange(job.heldStarts, {})) {
        this->parts.planner.taskEnded(id, index, policy::TaskEnd::NotStarted, false, base::steadyNow());
    }
    this->moved.insert(id);
    for (const Waiter &waiter : std::exchange(job.waiters, {})) {
        waiter.tell();
    }
    this->moved.erase(id);
    this->parts.jobs.remove(id);
    if (reply) {
        reply(failureReply(base::ResultCode::NotLeader, "the zone's scheduler is changing"));
    }
}

void Submissions::awaitOutcome(ActiveJob &job, base::SteadyTime until, StillOpen stillOpen, const Reply &reply)
{
    const model::JobId id = job.spec.id;
    if (job.finalAt) {
        reply(this->status.ofActive(job));
        return;
    }
    this->parts.jobs.wait(job,
                          {[this, id, stillOpen, reply] {
                               if (this->moved.count(id) > 0) {
                                   reply(failureReply(base::ResultCode::NotLeader, "the zone's scheduler is changing"));
                                   return;
                               }
                               if (this->resigning) {
                                   ZoneReply elsewhere = failureReply(base::ResultCode::NotLeader, "the zone's scheduler is changing");
                                   elsewhere.mayExist = true;
                                   reply(elsewhere);
                                   return;
                               }
                               ZoneReply outcome = this->status.of(id);
                               if (stillOpen != StillOpen::TellState && !model::isFinal(outcome.status.state)) {
                                   outcome.status.state = model::JobState::Unknown;
                                   outcome.status.code = base::ResultCode::OutcomeUnknown;
                                   outcome.status.reason = "it has not ended by its deadline; ask again by id";
                               }
                               reply(outcome);
                           },
                           until});
}

void Submissions::lookup(const LookupCall &call, const Reply &reply)
{
    ActiveJob *job = this->parts.jobs.find(call.id);
    if (job != nullptr && !job->finalAt && call.wait.count() > 0) {
        this->awaitOutcome(*job, base::steadyNow() + std::min(call.wait, LongestWait), StillOpen::TellState, reply);
        return;
    }
    reply(this->status.of(call.id));
}

void Submissions::cancel(const CancelCall &call, const Reply &reply)
{
    ActiveJob *job = this->parts.jobs.find(call.id);
    if (job == nullptr || job->finalAt) {
        reply(this->status.of(call.id));
        return;
    }
    job->cancelled = true;
    this->parts.planner.cancel(call.id, base::steadyNow());
    if (job->submitting) {
        reply(this->status.of(call.id));
    } else if (job->replicated) {
        this->cancelKept(call.id, reply);
    } else {
        this->cancelHere(*job, reply);
    }
}

void Submissions::cancelHere(ActiveJob &job, const Reply &reply)
{
    const model::JobId id = job.spec.id;
    ActiveTask &task = job.tasks.front();
    if (task.stage == TaskStage::Waiting || task.stage == TaskStage::Held) {
        const bool waits = task.stage == TaskStage::Waiting;
        if (waits && task.failures == 0) {
            this->closer.drop(job, base::ResultCode::CancelledBeforeStart, "cancelled while it waited");
        } else {
            this->ender.waitAgain(job, 0, policy::TaskEnd::Failed);
        }
    } else {
        this->ender.stopAll(job);
    }
    reply(this->status.of(id));
}

void Submissions::cancelKept(const model::JobId &id, const Reply &reply)
{
    this->parts.context.group.propose(cancelCommand(id, unixNow()),
                                      replication::Durability::Majority,
                                      [this, id, reply, guard = this->parts.context.guard](const replication::ProposeResult &result) {
                                          guard([this, id, reply, code = result.code] {
                                              ActiveJob *job = this->parts.jobs.find(id);
                                              if (code != base::ResultCode::Ok) {
                                                  reply(failureReply(code, "the cancellation could not be kept; try again"));
                                                  return;
                                              }
                                              if (job != nullptr) {
                                                  this->ender.cancelled(*job);
                                              }
                                              reply(this->status.of(id));
                                          });
                                      });
}

void Submissions::answer(const AnswerCall &call, const Reply &reply)
{
    reply(this->status.piece(call.id, call.offset));
}

void Submissions::resign(const std::string &leader)
{
    this->resigning = true;
    Logger.info("Hands over to {}.", leader.empty() ? "whoever is elected" : leader);
    this->parts.jobs.visit([](ActiveJob &job) {
        for (const Waiter &waiter : std::exchange(job.waiters, {})) {
            waiter.tell();
        }
    });
}

} // namespace cranberryreel::zone
