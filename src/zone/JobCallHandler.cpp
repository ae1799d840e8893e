#include "zone/JobCallHandler.h"

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

constexpr std::chrono::milliseconds RecoveryPollInterval{50};
constexpr std::chrono::milliseconds MaxLookupWait{300000};
constexpr std::chrono::milliseconds DeadlineSlack{150}; // Time for the group to commit that the deadline has passed.

bool isReplicated(const model::JobSpec &spec)
{
    return spec.kind != model::JobKind::Request || !spec.repeatable || !spec.key.empty();
}

std::string qualifiedKey(const model::JobSpec &spec)
{
    return spec.partner + '\n' + spec.key;
}

} // namespace

JobCallHandler::JobCallHandler(TermParts &termParts, TaskStarter &taskStarter, AttemptEndHandler &attemptEndHandler, JobCloser &jobCloser)
    : parts(termParts)
    , starter(taskStarter)
    , endHandler(attemptEndHandler)
    , closer(jobCloser)
    , statusReader(termParts.jobs, termParts.context.store)
{
}

void JobCallHandler::submit(const SubmitCall &call, const std::string &traceparent, const ReplyCallback &reply)
{
    if (this->joinKnownJob(call, reply)) {
        return;
    }
    if (call.mayExist && !isReplicated(call.spec) && !this->parts.fleet.isRecovered()) {
        this->retryUntilRecovered(call, traceparent, reply);
        return;
    }
    this->accept(call, traceparent, reply);
}

bool JobCallHandler::joinKnownJob(const SubmitCall &call, const ReplyCallback &reply)
{
    if (ActiveJob *job = this->parts.jobs.find(call.spec.id)) {
        if (job->adopted) {
            job->adopted = false;
            job->spec.partner = call.spec.partner;
            job->spec.name = call.spec.name;
            job->spec.payload = call.spec.payload;
        }
        if (job->spec.kind != model::JobKind::Request && !job->commitPending) {
            reply(this->statusReader.read(call.spec.id));
        } else {
            this->replyWhenFinal(*job, base::steadyNow() + call.spec.deadline + DeadlineSlack, OnTimeout::ReportUnknown, reply);
        }
        return true;
    }
    if (!isReplicated(call.spec)) {
        return false;
    }
    if (this->parts.context.store.findJob(call.spec.id)) {
        reply(this->statusReader.read(call.spec.id));
        return true;
    }
    if (call.spec.key.empty()) {
        return false;
    }
    if (const auto uncommitted = this->uncommittedKeys.find(qualifiedKey(call.spec)); uncommitted != this->uncommittedKeys.end()) {
        this->joinJobOfKey(uncommitted->second, call, reply);
        return true;
    }
    if (const auto known = this->parts.context.store.findJobByKey(call.spec.partner, call.spec.key)) {
        this->joinJobOfKey(*known, call, reply);
        return true;
    }
    return false;
}

void JobCallHandler::joinJobOfKey(const model::JobId &id, const SubmitCall &call, const ReplyCallback &reply)
{
    const ActiveJob *active = this->parts.jobs.find(id);
    const std::optional<JobRecord> record = this->parts.context.store.findJob(id);
    const model::JobSpec *spec = active != nullptr ? &active->spec : record ? &record->spec : nullptr;
    if (spec == nullptr || !describesSameWork(*spec, call.spec)) {
        reply(failureReply(base::ResultCode::KeyReusedForOtherWork, "the idempotency key is already used for different work; choose a new key"));
        return;
    }
    if (active != nullptr && (spec->kind == model::JobKind::Request || active->commitPending)) {
        this->replyWhenFinal(*this->parts.jobs.find(id), base::steadyNow() + call.spec.deadline + DeadlineSlack, OnTimeout::ReportUnknown, reply);
        return;
    }
    reply(this->statusReader.read(id));
}

void JobCallHandler::retryUntilRecovered(SubmitCall call, const std::string &traceparent, const ReplyCallback &reply)
{
    if (call.spec.deadline <= RecoveryPollInterval) {
        reply(unknownReply(call.spec, "the zone's new leader is still reading back the running tasks; look the job up by its id"));
        return;
    }
    call.spec.deadline -= RecoveryPollInterval;
    this->parts.context.postInTermAfter(RecoveryPollInterval, [this, call, traceparent, reply] {
        if (this->resigning) {
            return;
        }
        this->submit(call, traceparent, reply);
    });
}

void JobCallHandler::accept(const SubmitCall &call, const std::string &traceparent, const ReplyCallback &reply)
{
    const base::SteadyTime now = base::steadyNow();
    const bool replicated = isReplicated(call.spec);
    if (replicated && this->parts.context.store.jobCount() >= this->parts.context.options.maxJobs) {
        reply(notRunReply(call.spec, base::ResultCode::QueueFull, "the zone has reached its limit of stored jobs"));
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
    this->closer.scheduleDeadlineCheck(job);
    if (replicated) {
        this->proposeSubmit(job, reply);
    } else {
        this->replyWhenFinal(job, now + job.spec.deadline + DeadlineSlack, OnTimeout::ReportUnknown, reply);
    }
    this->parts.requestPlanning();
}

void JobCallHandler::proposeSubmit(ActiveJob &job, const ReplyCallback &reply)
{
    job.commitPending = true;
    if (!job.spec.key.empty()) {
        this->uncommittedKeys[qualifiedKey(job.spec)] = job.spec.id;
    }
    if (job.spec.kind == model::JobKind::Request) {
        this->replyWhenFinal(job, base::steadyNow() + job.spec.deadline + DeadlineSlack, OnTimeout::ReportUnknown, reply);
    }
    const ReplyCallback jobReply = job.spec.kind == model::JobKind::Request ? ReplyCallback() : reply;
    this->parts.context.group.propose(
        submitCommand(job.spec, unixNow()),
        replication::Durability::SyncedDisk,
        [this, id = job.spec.id, jobReply, postInTerm = this->parts.context.postInTerm](const replication::ProposeResult &result) {
            postInTerm([this, id, result, jobReply] { this->handleSubmitResult(id, result, jobReply); });
        });
}

void JobCallHandler::handleSubmitResult(const model::JobId &id, const replication::ProposeResult &result, const ReplyCallback &reply)
{
    ActiveJob *job = this->parts.jobs.find(id);
    if (job == nullptr) {
        return;
    }
    this->uncommittedKeys.erase(qualifiedKey(job->spec));
    if (result.code == base::ResultCode::Ok && SubmitOutcome::decode(result.result).verdict == SubmitVerdict::Accepted) {
        job->commitPending = false;
        if (reply) {
            reply(this->statusReader.read(id));
        }
        this->starter.startDeferred(*job, base::steadyNow());
        if (job->cancelled) {
            this->cancelReplicated(id, [](const ZoneReply &) {});
        }
        return;
    }
    if (result.code == base::ResultCode::GroupUnavailable) {
        // The job may still be committed. The caller submits the same id to the next leader, which knows the outcome.
        ZoneReply notLeader = failureReply(base::ResultCode::NotLeader, "the zone's leader is changing");
        notLeader.mayExist = true;
        if (reply) {
            reply(notLeader);
        }
        return;
    }
    if (result.code == base::ResultCode::NotLeader) {
        this->redirectToNextLeader(*job, reply);
        return;
    }
    const bool committed = result.code == base::ResultCode::Ok;
    const base::ResultCode code = committed ? base::ResultCode::KeyReusedForOtherWork : result.code;
    const std::string reason =
        code == base::ResultCode::NoDurableStore ? "no reachable member could store the job on a synced disk" : "the zone's group could not store the job";
    if (reply) {
        reply(notRunReply(job->spec, code, reason));
    }
    this->closer.closeLocally(*job, code, reason);
}

/// Removes a job that was provably not committed and sends its callers to the next leader.
void JobCallHandler::redirectToNextLeader(ActiveJob &job, const ReplyCallback &reply)
{
    const model::JobId id = job.spec.id;
    this->parts.planner.cancel(id, base::steadyNow());
    for (const std::uint32_t index : std::exchange(job.deferredStarts, {})) {
        this->parts.planner.taskEnded(id, index, policy::TaskEnd::NotStarted, false, base::steadyNow());
    }
    this->redirected.insert(id);
    for (const Waiter &waiter : std::exchange(job.waiters, {})) {
        waiter.notify();
    }
    this->redirected.erase(id);
    this->parts.jobs.remove(id);
    if (reply) {
        reply(failureReply(base::ResultCode::NotLeader, "the zone's leader is changing"));
    }
}

void JobCallHandler::replyWhenFinal(ActiveJob &job, base::SteadyTime until, OnTimeout onTimeout, const ReplyCallback &reply)
{
    const model::JobId id = job.spec.id;
    if (job.finalAt) {
        reply(this->statusReader.readActive(job));
        return;
    }
    this->parts.jobs.addWaiter(job,
                               {[this, id, onTimeout, reply] {
                                    if (this->redirected.count(id) > 0) {
                                        reply(failureReply(base::ResultCode::NotLeader, "the zone's leader is changing"));
                                        return;
                                    }
                                    if (this->resigning) {
                                        ZoneReply notLeader = failureReply(base::ResultCode::NotLeader, "the zone's leader is changing");
                                        notLeader.mayExist = true;
                                        reply(notLeader);
                                        return;
                                    }
                                    ZoneReply outcome = this->statusReader.read(id);
                                    if (onTimeout != OnTimeout::ReportState && !model::isFinal(outcome.status.state)) {
                                        outcome.status.state = model::JobState::Unknown;
                                        outcome.status.code = base::ResultCode::OutcomeUnknown;
                                        outcome.status.reason = "the job has not ended by its deadline; look the job up by its id";
                                    }
                                    reply(outcome);
                                },
                                until});
}

void JobCallHandler::lookup(const LookupCall &call, const ReplyCallback &reply)
{
    ActiveJob *job = this->parts.jobs.find(call.id);
    if (job != nullptr && !job->finalAt && call.wait.count() > 0) {
        this->replyWhenFinal(*job, base::steadyNow() + std::min(call.wait, MaxLookupWait), OnTimeout::ReportState, reply);
        return;
    }
    reply(this->statusReader.read(call.id));
}

void JobCallHandler::cancel(const CancelCall &call, const ReplyCallback &reply)
{
    ActiveJob *job = this->parts.jobs.find(call.id);
    if (job == nullptr || job->finalAt) {
        reply(this->statusReader.read(call.id));
        return;
    }
    job->cancelled = true;
    this->parts.planner.cancel(call.id, base::steadyNow());
    if (job->commitPending) {
        reply(this->statusReader.read(call.id));
    } else if (job->replicated) {
        this->cancelReplicated(call.id, reply);
    } else {
        this->cancelLocal(*job, reply);
    }
}

void JobCallHandler::cancelLocal(ActiveJob &job, const ReplyCallback &reply)
{
    const model::JobId id = job.spec.id;
    ActiveTask &task = job.tasks.front();
    if (task.stage == TaskStage::Waiting || task.stage == TaskStage::AwaitingRetry) {
        const bool waits = task.stage == TaskStage::Waiting;
        if (waits && task.failures == 0) {
            this->closer.closeLocally(job, base::ResultCode::CancelledBeforeStart, "cancelled while the job waited");
        } else {
            this->endHandler.requeueInPlanner(job, 0, policy::TaskEnd::Failed);
        }
    } else {
        this->endHandler.stopAll(job);
    }
    reply(this->statusReader.read(id));
}

void JobCallHandler::cancelReplicated(const model::JobId &id, const ReplyCallback &reply)
{
    this->parts.context.group.propose(cancelCommand(id, unixNow()),
                                      replication::Durability::Majority,
                                      [this, id, reply, postInTerm = this->parts.context.postInTerm](const replication::ProposeResult &result) {
                                          postInTerm([this, id, reply, code = result.code] {
                                              ActiveJob *job = this->parts.jobs.find(id);
                                              if (code != base::ResultCode::Ok) {
                                                  reply(failureReply(code, "the cancellation could not be stored; try again"));
                                                  return;
                                              }
                                              if (job != nullptr) {
                                                  this->endHandler.handleCancelCommitted(*job);
                                              }
                                              reply(this->statusReader.read(id));
                                          });
                                      });
}

void JobCallHandler::readAnswer(const AnswerCall &call, const ReplyCallback &reply)
{
    reply(this->statusReader.readAnswerPiece(call.id, call.offset));
}

void JobCallHandler::resign(const std::string &leader)
{
    this->resigning = true;
    Logger.info("Leadership ends; the next leader is {}.", leader.empty() ? "not known yet" : leader);
    this->parts.jobs.visit([](ActiveJob &job) {
        for (const Waiter &waiter : std::exchange(job.waiters, {})) {
            waiter.notify();
        }
    });
}

} // namespace cranberryreel::zone
