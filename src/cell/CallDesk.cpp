#include "cell/CallDesk.h"

#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

using base::ResultCode;

const observe::Log Logger("cell");

/// What a path names at a queue: the job's id behind the queue's prefix, or the queue itself.
struct Place {
    bool configured = false;
    bool known = false;
    std::string queue;
    std::string service;
    std::uint32_t maxFailures = 0;
    std::string jobId;
};

Place placeOf(const CellState &state, const wire::CallT &call)
{
    Place place;
    place.configured = state.rules() != nullptr;
    if (const wire::QueueT *queue = state.queueAt(call.host, call.path)) {
        place.known = true;
        place.queue = queue->name;
        place.service = queue->service;
        place.maxFailures = queue->max_failures;
        place.jobId = call.path.substr(queue->path_prefix.size());
        place.known = place.jobId.find_first_of("/.") == std::string::npos;
    }
    return place;
}

/// The reply where no queue can be told; nothing where there is one.
std::optional<wire::ReplyT> refusalOf(const Place &place)
{
    if (!place.configured) {
        return replyOf(ResultCode::ConfigurationUnavailable, "No configuration has been put yet.");
    }
    if (!place.known) {
        return replyOf(ResultCode::NotFound, "No queue has this host and path.");
    }
    return std::nullopt;
}

bool isWhole(const wire::JobSpecT &job)
{
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
        const auto &after = job.steps[s]->after;
        if (std::any_of(after.begin(), after.end(), [s](std::uint32_t earlier) { return earlier >= s; })) {
            return false;
        }
    }
    return !job.steps.empty();
}

/// Whether the call has what its kind needs: tables of another version verify without it.
bool isWhole(const wire::CallT &call)
{
    switch (call.kind) {
    case wire::CallKind::Submit:
        return call.job && isWhole(*call.job);
    case wire::CallKind::PutRules:
        return call.rules != nullptr;
    case wire::CallKind::Announce:
        return call.announcement && call.announcement->upstream;
    default:
        return true;
    }
}

} // namespace

wire::ReplyT replyOf(ResultCode code, const std::string &reason)
{
    wire::ReplyT reply;
    reply.code = static_cast<int>(code);
    reply.reason = reason;
    return reply;
}

CallDesk::CallDesk(TermContext &termContext, FleetKeeper &fleetKeeper)
    : context(termContext)
    , fleet(fleetKeeper)
{
}

void CallDesk::call(wire::CallT call, const Reply &reply)
{
    if (!this->context.leads()) {
        reply(replyOf(ResultCode::NotLeader, "The lease of this scheduler has lapsed."));
        return;
    }
    if (!isWhole(call)) {
        Logger.warn("event=call_incomplete kind={}", wire::EnumNameCallKind(call.kind));
        reply(replyOf(ResultCode::MissingField, "The call lacks what its kind needs."));
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
        reply(replyOf(ResultCode::LinkFrameInvalid, "A call of this kind does not go to a scheduler."));
        return;
    }
}

void CallDesk::submit(wire::CallT &call, const Reply &reply)
{
    bool accepted = false;
    const Place place = this->context.store.read([&](const CellState &state) {
        Place found = placeOf(state, call);
        const wire::JobT *job = state.jobNamed(found.jobId);
        accepted = found.known && job != nullptr && job->spec->queue == found.queue;
        return found;
    });
    if (accepted) {
        reply(replyOf(ResultCode::Ok));
        return;
    }
    if (const auto refusal = refusalOf(place)) {
        reply(*refusal);
        return;
    }
    call.job->id = place.jobId;
    call.job->queue = place.queue;
    call.job->service = place.service;
    call.job->max_failures = place.maxFailures;
    call.job->zone = call.zone;
    this->context.batch.command().jobs.push_back(std::move(call.job));
    this->context.batch.then([reply, id = place.jobId, queue = place.queue](ResultCode code) {
        Logger.info("event=submitted job={} queue={} outcome={}", id, queue, static_cast<int>(code));
        reply(replyOf(code));
    });
    this->context.wake();
}

void CallDesk::readJob(const wire::CallT &call, const Reply &reply) const
{
    const wire::ReplyT answer = this->context.store.read([&call](const CellState &state) {
        const Place place = placeOf(state, call);
        if (const auto refusal = refusalOf(place)) {
            return *refusal;
        }
        const wire::JobT *job = state.jobNamed(place.jobId);
        if (job == nullptr || job->spec->queue != place.queue) {
            return replyOf(ResultCode::UpstreamUnknown, "No such job.");
        }
        wire::ReplyT found = replyOf(ResultCode::Ok);
        found.state = job->state;
        return found;
    });
    reply(answer);
}

void CallDesk::cancelJob(const wire::CallT &call, const Reply &reply)
{
    bool active = false;
    const Place place = this->context.store.read([&](const CellState &state) {
        Place found = placeOf(state, call);
        const wire::JobT *job = state.jobNamed(found.jobId);
        active = job != nullptr && isActive(*job);
        return found;
    });
    if (const auto refusal = refusalOf(place)) {
        reply(*refusal);
        return;
    }
    const bool known = active || this->context.store.read([&](const CellState &state) { return state.jobNamed(place.jobId) != nullptr; });
    if (!known) {
        // A submission may be waiting in the batch, ahead of this cancel.
        const auto &jobs = this->context.batch.command().jobs;
        const bool waiting = std::any_of(jobs.begin(), jobs.end(), [&place](const std::unique_ptr<wire::JobSpecT> &spec) { return spec->id == place.jobId; });
        if (!waiting) {
            reply(replyOf(ResultCode::UpstreamUnknown, "No such job."));
            return;
        }
    }
    if (known && !active) {
        reply(replyOf(ResultCode::Ok));
        return;
    }
    this->context.batch.command().cancels.push_back(place.jobId);
    this->context.batch.then([reply, id = place.jobId](ResultCode code) {
        Logger.info("event=cancelled job={} outcome={}", id, static_cast<int>(code));
        reply(replyOf(code));
    });
    this->context.wake();
}

void CallDesk::countPending(const wire::CallT &call, const Reply &reply) const
{
    const wire::ReplyT answer = this->context.store.read([&call](const CellState &state) {
        const Place place = placeOf(state, call);
        if (const auto refusal = refusalOf(place)) {
            return *refusal;
        }
        wire::ReplyT found = replyOf(ResultCode::Ok);
        for (const std::uint64_t number : state.openJobs()) {
            const wire::JobT &job = *state.job(number);
            found.pending += isActive(job) && !job.started && job.spec->queue == place.queue ? 1 : 0;
        }
        return found;
    });
    reply(answer);
}

void CallDesk::putRules(wire::CallT &call, const Reply &reply)
{
    const std::uint64_t version = call.rules->version;
    const std::uint64_t current =
        this->context.store.read([](const CellState &state) { return state.rules() == nullptr ? std::uint64_t{0} : state.rules()->version; });
    if (version <= current) {
        Logger.info("event=rules_not_newer version={} current={}", version, current);
        reply(replyOf(ResultCode::Ok));
        return;
    }
    auto &waiting = this->context.batch.command().rules;
    if (!waiting || version > waiting->version) {
        waiting = std::move(call.rules);
    }
    this->context.batch.then([reply, version](ResultCode code) {
        Logger.info("event=rules_put version={} outcome={}", version, static_cast<int>(code));
        reply(replyOf(code));
    });
    this->context.wake();
}

void CallDesk::readRules(const Reply &reply) const
{
    const wire::ReplyT answer = this->context.store.read([](const CellState &state) {
        if (state.rules() == nullptr) {
            return replyOf(ResultCode::ConfigurationUnavailable, "No configuration has been put yet.");
        }
        wire::ReplyT found = replyOf(ResultCode::Ok);
        found.document = state.rules()->document;
        return found;
    });
    reply(answer);
}

void CallDesk::announce(const wire::CallT &call, const Reply &reply)
{
    this->fleet.announced(*call.announcement, [reply](ResultCode code) { reply(replyOf(code)); });
}

void CallDesk::leave(const wire::CallT &call, const Reply &reply)
{
    this->fleet.left(call.path, [reply](ResultCode code) { reply(replyOf(code)); });
}

} // namespace cranberryreel::cell
