#include "cell/PeerCallHandler.h"

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
    return match;
}

/// The error reply for a path without a queue; nothing if a queue matched.
std::optional<wire::ReplyT> refusalFor(const QueueMatch &match)
{
    if (!match.configured) {
        return makeReply(ResultCode::ConfigurationUnavailable, "No configuration has been set yet.");
    }
    if (match.queue == nullptr) {
        return makeReply(ResultCode::NotFound, "No queue has this host and path.");
    }
    return std::nullopt;
}

wire::ReplyT cancelledReply()
{
    return makeReply(ResultCode::CancelledBeforeStart, "The job was cancelled before it arrived, and never runs.");
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

void PeerCallHandler::submit(wire::CallT &call, const ReplyCallback &reply)
{
    const std::optional<wire::ReplyT> known = this->context.store.read([&call](const CellState &state) -> std::optional<wire::ReplyT> {
        const QueueMatch match = matchQueue(state, call);
        if (auto refusal = refusalFor(match)) {
            return refusal;
        }
        if (match.job != nullptr) {
            return makeReply(ResultCode::Ok);
        }
        if (state.isCancelledId(match.jobId)) {
            return cancelledReply();
        }
        call.job->id = match.jobId;
        call.job->queue = match.queue->name;
        call.job->service = match.queue->service;
        call.job->max_failures = match.queue->max_failures;
        call.job->route = std::make_unique<wire::QueueT>(*match.queue);
        return std::nullopt;
    });
    if (known) {
        reply(*known);
        return;
    }
    call.job->zone = call.zone;
    if (const auto rejection = this->admission.rejectionOf(*call.job)) {
        reply(*rejection);
        return;
    }
    this->context.batch.onOutcome([this, reply, id = call.job->id, queue = call.job->queue](ResultCode code) {
        // A cancel that was being committed when the job arrived comes first in the log, and the job is then left out.
        const bool cancelled = code == ResultCode::Ok && this->context.store.read([&id](const CellState &state) { return state.isCancelledId(id); });
        Logger.info("event=job_submitted job={} queue={} outcome={} cancelled={}", id, queue, static_cast<int>(code), cancelled);
        reply(cancelled ? cancelledReply() : makeReply(code));
    });
    this->context.batch.command().jobs.push_back(std::move(call.job));
    this->context.wake();
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
    reply(answer);
}

void PeerCallHandler::cancelJob(const wire::CallT &call, const ReplyCallback &reply)
{
    bool ended = false;
    std::string id;
    const std::optional<wire::ReplyT> refusal = this->context.store.read([&](const CellState &state) -> std::optional<wire::ReplyT> {
        const QueueMatch match = matchQueue(state, call);
        id = match.jobId;
        ended = match.job != nullptr && !isActive(*match.job);
        if (auto refused = refusalFor(match)) {
            return refused;
        }
        const bool otherQueues = match.job == nullptr && state.jobNamed(id) != nullptr;
        if (otherQueues || state.isCancelledId(id)) {
            return makeReply(ResultCode::UpstreamUnknown, "No such job.");
        }
        if (match.job == nullptr && state.cancelledIds().size() >= MaxCancelledIds) {
            return makeReply(ResultCode::QueueFull, "Too many jobs were cancelled before they were accepted.");
        }
        return std::nullopt;
    });
    if (refusal) {
        reply(*refusal);
        return;
    }
    if (ended) {
        reply(makeReply(ResultCode::Ok));
        return;
    }
    // Also proposed if no such job is known: its submission may be in a batch that is being committed, or wait at a VM that is slow or frozen.
    this->context.batch.command().cancels.push_back(id);
    this->context.batch.onOutcome([this, reply, id](ResultCode code) {
        const bool known = this->context.store.read([&id](const CellState &state) { return state.jobNamed(id) != nullptr; });
        Logger.info("event=job_cancelled job={} outcome={} known={}", id, static_cast<int>(code), known);
        reply(code == ResultCode::Ok && !known ? makeReply(ResultCode::UpstreamUnknown, "No such job.") : makeReply(code));
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
    reply(answer);
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
