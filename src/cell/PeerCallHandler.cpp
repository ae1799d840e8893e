#include "cell/PeerCallHandler.h"

#include "cell/TeamMetrics.h"
#include "cell/teams/Authorization.h"
#include "cell/teams/KeyFingerprint.h"
#include "cell/teams/SubmissionLimit.h"
#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

using base::ResultCode;

const observe::Log Logger("cell");

/// Bounds the memory that cancels of unknown jobs can take; each is kept as long as an ended job.
constexpr std::size_t MaxCancelledIds = 100000;

/// What a call's host and path select. Refers to the CellState that it was made from.
struct QueueMatch {
    bool configured = false; ///< A configuration has been committed.
    const wire::QueueT *queue = nullptr; ///< Null when no queue matches, or the rest of the path is no valid job id.
    std::string jobId; ///< What follows the queue's path prefix; empty if the path names the queue itself.
    const wire::JobT *job = nullptr; ///< The job of this id, if it belongs to the queue.
    teams::Authorization access; ///< Of the call's key, if a queue matched.

    /// Of the call's key; empty for open queues, and where no keys are required.
    std::string team() const
    {
        return this->access.team == nullptr ? std::string() : this->access.team->name;
    }
};

QueueMatch matchQueue(const CellState &state, const wire::CallT &call)
{
    QueueMatch match;
    match.configured = state.rules() != nullptr;
    const wire::QueueT *queue = state.queueAt(call.host, call.path);
    if (queue == nullptr) {
        return match;
    }
    match.jobId = call.path.substr(queue->path_prefix.size());
    if (match.jobId.find_first_of("/.") != std::string::npos) {
        return match;
    }
    match.queue = queue;
    if (const wire::JobT *job = state.jobNamed(match.jobId); job != nullptr && state.queueOf(*job->spec) == queue) {
        match.job = job;
    }
    match.access = teams::authorize(state, *queue, call.key, match.job);
    return match;
}

/// The error reply for a path without a queue or a key that does not permit the call; nothing if the call is permitted.
std::optional<wire::ReplyT> refusalFor(const QueueMatch &match)
{
    if (!match.configured) {
        return makeReply(ResultCode::ConfigurationUnavailable, "No configuration has been set yet.");
    }
    if (match.queue == nullptr) {
        return makeReply(ResultCode::NotFound, "No queue has this host and path.");
    }
    if (match.access.code != ResultCode::Ok) {
        return makeReply(match.access.code, match.access.reason);
    }
    return std::nullopt;
}

wire::ReplyT cancelledReply()
{
    return makeReply(ResultCode::CancelledBeforeStart, "The job was cancelled before it arrived, and never runs.");
}

/// The reply to a submission that was committed. The log may have left the job out: a cancel that was being committed when the job arrived comes first, and so
/// does a job of the same id that another team submitted at the same time.
wire::ReplyT committedReply(const CellState &state, const std::string &id, const std::string &team)
{
    if (state.isCancelledId(id, team)) {
        return cancelledReply();
    }
    const wire::JobT *job = state.jobNamed(id);
    return job == nullptr || teams::mayAccess(state, team, *job->spec) ? makeReply(ResultCode::Ok)
                                                                       : makeReply(ResultCode::Forbidden, "The job belongs to another team.");
}

/// The reply to a cancel that was committed; `team` restricted it to jobs of that team.
wire::ReplyT committedCancelReply(const CellState &state, const std::string &id, const std::optional<std::string> &team)
{
    const wire::JobT *job = state.jobNamed(id);
    if (job == nullptr) {
        return makeReply(ResultCode::UpstreamUnknown, "No such job.");
    }
    return team && job->spec->team != *team ? makeReply(ResultCode::Forbidden, "The job belongs to another team.") : makeReply(ResultCode::Ok);
}

/// Whether the job has steps and every step depends on earlier steps only.
bool isComplete(const wire::JobSpecT &job)
{
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
        const auto &after = job.steps[s]->after;
        if (std::any_of(after.begin(), after.end(), [s](std::uint32_t earlier) { return earlier >= s; })) {
            return false;
        }
    }
    return !job.steps.empty();
}

/// Whether the call has the fields that its kind requires. A call from a VM of another version may lack them and still pass table verification.
bool isComplete(const wire::CallT &call)
{
    switch (call.kind) {
    case wire::CallKind::Submit:
        return call.job && isComplete(*call.job);
    case wire::CallKind::PutRules:
        return call.rules != nullptr;
    case wire::CallKind::Announce:
        return call.announcement && call.announcement->upstream;
    default:
        return true;
    }
}

} // namespace

wire::ReplyT makeReply(ResultCode code, const std::string &reason)
{
    wire::ReplyT reply;
    reply.code = static_cast<int>(code);
    reply.reason = reason;
    return reply;
}

PeerCallHandler::PeerCallHandler(TermContext &termContext, UpstreamManager &upstreamManager, const JobLifecycleLog &jobLog)
    : context(termContext)
    , upstreams(upstreamManager)
    , rateWindow(termContext.options.teamRateWindow)
    , admission(termContext, jobLog.acceptanceTimes())
{
}

void PeerCallHandler::handle(wire::CallT call, const ReplyCallback &reply)
{
    if (!this->context.holdsLease()) {
        reply(makeReply(ResultCode::NotLeader, "The lease of this leader has expired."));
        return;
    }
    if (!isComplete(call)) {
        Logger.warn("event=call_incomplete kind={}", wire::EnumNameCallKind(call.kind));
        reply(makeReply(ResultCode::MissingField, "The call lacks a field that its kind requires."));
        return;
    }
    switch (call.kind) {
    case wire::CallKind::Submit:
        this->submit(call, reply);
        return;
    case wire::CallKind::ReadJob:
        this->readJob(call, reply);
        return;
    case wire::CallKind::CancelJob:
        this->cancelJob(call, reply);
        return;
    case wire::CallKind::CountPending:
        this->countPending(call, reply);
        return;
    case wire::CallKind::PutRules:
        this->putRules(call, reply);
        return;
    case wire::CallKind::ReadRules:
        this->readRules(reply);
        return;
    case wire::CallKind::Announce:
        this->announce(call, reply);
        return;
    case wire::CallKind::Leave:
        this->leave(call, reply);
        return;
    default:
        reply(makeReply(ResultCode::LinkFrameInvalid, "A scheduler does not handle calls of this kind."));
        return;
    }
}

/// Completes the job from the queue and the team that the call selects. Returns the reply if there is nothing to accept.
std::optional<wire::ReplyT> PeerCallHandler::prepareSubmission(const CellState &state, wire::CallT &call)
{
    const QueueMatch match = matchQueue(state, call);
    if (auto refusal = refusalFor(match)) {
        return refusal;
    }
    if (match.job != nullptr) {
        return makeReply(ResultCode::Ok);
    }
    const std::string team = match.team();
    if (state.isCancelledId(match.jobId, team)) {
        return cancelledReply();
    }
    wire::JobSpecT &job = *call.job;
    job.team = team;
    job.beyond_rate = false;
    if (const wire::TeamT *limits = match.access.team) {
        if (const std::optional<std::string> excess = teams::limitExcess(*limits, job)) {
            return makeReply(ResultCode::QuotaExceeded, *excess);
        }
        job.beyond_rate = !this->rateWindow.isWithinRate(team, limits->weight, match.jobId, base::steadyNow());
    }
    job.id = match.jobId;
    job.queue = match.queue->name;
    job.service = match.queue->service;
    job.max_failures = match.queue->max_failures;
    job.route = std::make_unique<wire::QueueT>(*match.queue);
    job.zone = call.zone;
    return std::nullopt;
}

void PeerCallHandler::submit(wire::CallT &call, const ReplyCallback &reply)
{
    const std::optional<wire::ReplyT> known = this->context.store.read([&](const CellState &state) { return this->prepareSubmission(state, call); });
    if (known) {
        this->sendAnswer(call, *known, reply);
        return;
    }
    if (const auto rejection = this->admission.rejectionOf(*call.job)) {
        reply(*rejection);
        return;
    }
    const wire::JobSpecT &job = *call.job;
    this->context.batch.onOutcome([this, reply, id = job.id, queue = job.queue, team = job.team, beyondRate = job.beyond_rate](ResultCode code) {
        const wire::ReplyT committed =
            code == ResultCode::Ok ? this->context.store.read([&](const CellState &state) { return committedReply(state, id, team); }) : makeReply(code);
        const bool cancelled = committed.code == static_cast<int>(ResultCode::CancelledBeforeStart);
        Logger.info("event=job_submitted job={} queue={} team={} beyond_rate={} outcome={} cancelled={}",
                    id,
                    queue,
                    team,
                    beyondRate,
                    cancelled ? static_cast<int>(ResultCode::Ok) : committed.code,
                    cancelled);
        if (committed.code == static_cast<int>(ResultCode::Forbidden)) {
            TeamMetrics::recordRejected(team, base::resultName(ResultCode::Forbidden));
        } else if (committed.code == static_cast<int>(ResultCode::Ok) && !team.empty()) {
            TeamMetrics::recordSubmitted(team, beyondRate);
        }
        reply(committed);
    });
    this->context.batch.command().jobs.push_back(std::move(call.job));
    this->context.wake();
}

/// Sends a reply that needs no change, and logs it if the call was rejected because of its key or its team's limit.
void PeerCallHandler::sendAnswer(const wire::CallT &call, const wire::ReplyT &answer, const ReplyCallback &reply) const
{
    const auto code = static_cast<ResultCode>(answer.code);
    if (code == ResultCode::Unauthorized || code == ResultCode::Forbidden || code == ResultCode::QuotaExceeded) {
        const std::string team = this->context.store.read([&call](const CellState &state) {
            const wire::TeamT *found = state.teamOfKey(call.key);
            return found == nullptr ? std::string() : found->name;
        });
        Logger.info("event=call_rejected kind={} path={} code={} team={} key={} reason=\"{}\"",
                    wire::EnumNameCallKind(call.kind),
                    call.path,
                    answer.code,
                    team,
                    teams::keyFingerprint(call.key),
                    answer.reason);
        TeamMetrics::recordRejected(team, base::resultName(code));
    }
    reply(answer);
}

void PeerCallHandler::readJob(const wire::CallT &call, const ReplyCallback &reply) const
{
    const wire::ReplyT answer = this->context.store.read([&call](const CellState &state) {
        const QueueMatch match = matchQueue(state, call);
        if (const auto refusal = refusalFor(match)) {
            return *refusal;
        }
        if (match.job == nullptr) {
            return makeReply(ResultCode::UpstreamUnknown, "No such job.");
        }
        wire::ReplyT found = makeReply(ResultCode::Ok);
        found.state = match.job->state;
        return found;
    });
    this->sendAnswer(call, answer, reply);
}

void PeerCallHandler::cancelJob(const wire::CallT &call, const ReplyCallback &reply)
{
    bool ended = false;
    std::string id;
    std::optional<std::string> team; // Restricts the cancel to jobs of this team.
    const std::optional<wire::ReplyT> refusal = this->context.store.read([&](const CellState &state) -> std::optional<wire::ReplyT> {
        const QueueMatch match = matchQueue(state, call);
        id = match.jobId;
        ended = match.job != nullptr && !isActive(*match.job);
        if (auto refused = refusalFor(match)) {
            return refused;
        }
        const bool otherQueues = match.job == nullptr && state.jobNamed(id) != nullptr;
        if (otherQueues || state.isCancelledId(id, match.team())) {
            return makeReply(ResultCode::UpstreamUnknown, "No such job.");
        }
        if (match.job == nullptr && state.cancelledIds().size() >= MaxCancelledIds) {
            return makeReply(ResultCode::QueueFull, "Too many jobs were cancelled before they were accepted.");
        }
        if (match.job == nullptr && state.rules()->requires_keys) {
            team = match.team();
        }
        return std::nullopt;
    });
    if (refusal) {
        this->sendAnswer(call, *refusal, reply);
        return;
    }
    if (ended) {
        reply(makeReply(ResultCode::Ok));
        return;
    }
    // Also proposed if no such job is known: its submission may be in a batch that is being committed, or wait at a VM that is slow or frozen. Such a cancel
    // must not affect a job of another team.
    if (team) {
        auto cancel = std::make_unique<wire::TeamCancelT>();
        cancel->id = id;
        cancel->team = *team;
        this->context.batch.command().team_cancels.push_back(std::move(cancel));
    } else {
        this->context.batch.command().cancels.push_back(id);
    }
    this->context.batch.onOutcome([this, reply, id, team](ResultCode code) {
        const wire::ReplyT committed = this->context.store.read([&](const CellState &state) { return committedCancelReply(state, id, team); });
        const bool known = committed.code != static_cast<int>(ResultCode::UpstreamUnknown);
        const wire::ReplyT answer = code == ResultCode::Ok ? committed : makeReply(code);
        Logger.info("event=job_cancelled job={} outcome={} known={}", id, known ? answer.code : static_cast<int>(code), known);
        reply(answer);
    });
    this->context.wake();
}

void PeerCallHandler::countPending(const wire::CallT &call, const ReplyCallback &reply) const
{
    const wire::ReplyT answer = this->context.store.read([&call](const CellState &state) {
        const QueueMatch match = matchQueue(state, call);
        if (const auto refusal = refusalFor(match)) {
            return *refusal;
        }
        wire::ReplyT found = makeReply(ResultCode::Ok);
        for (const std::uint64_t number : state.openJobs()) {
            const wire::JobT &job = *state.job(number);
            found.pending += isActive(job) && !job.started && state.queueOf(*job.spec) == match.queue ? 1 : 0;
        }
        return found;
    });
    this->sendAnswer(call, answer, reply);
}

void PeerCallHandler::putRules(wire::CallT &call, const ReplyCallback &reply)
{
    const std::uint64_t version = call.rules->version;
    const std::uint64_t current =
        this->context.store.read([](const CellState &state) { return state.rules() == nullptr ? std::uint64_t{0} : state.rules()->version; });
    if (version <= current) {
        Logger.info("event=rules_not_newer version={} current={}", version, current);
        reply(makeReply(ResultCode::Ok));
        return;
    }
    auto &waiting = this->context.batch.command().rules;
    if (!waiting || version > waiting->version) {
        waiting = std::move(call.rules);
    }
    this->context.batch.onOutcome([reply, version](ResultCode code) {
        Logger.info("event=rules_put version={} outcome={}", version, static_cast<int>(code));
        reply(makeReply(code));
    });
    this->context.wake();
}

void PeerCallHandler::readRules(const ReplyCallback &reply) const
{
    const wire::ReplyT answer = this->context.store.read([](const CellState &state) {
        if (state.rules() == nullptr) {
            return makeReply(ResultCode::ConfigurationUnavailable, "No configuration has been set yet.");
        }
        wire::ReplyT found = makeReply(ResultCode::Ok);
        found.document = state.rules()->document;
        return found;
    });
    reply(answer);
}

void PeerCallHandler::announce(const wire::CallT &call, const ReplyCallback &reply)
{
    this->upstreams.handleAnnouncement(*call.announcement, [reply](ResultCode code) { reply(makeReply(code)); });
}

void PeerCallHandler::leave(const wire::CallT &call, const ReplyCallback &reply)
{
    this->upstreams.handleLeave(call.path, [reply](ResultCode code) { reply(makeReply(code)); });
}

} // namespace cranberryreel::cell
