#include "routing/RoutedDispatcher.h"

#include "observe/Trace.h"
#include "routing/AnswerFetcher.h"
#include "routing/ViewCollector.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace cranberryreel::routing
{

namespace
{

constexpr std::chrono::milliseconds LookupSlack{2000};

/// Refusals after which another zone may take the work: the work provably did not run, and the reason applies to one zone only.
constexpr std::array<base::ResultCode, 5> ZoneSpecificRefusals = {base::ResultCode::QueueFull,
                                                                  base::ResultCode::NeverFits,
                                                                  base::ResultCode::DeadlineUnreachable,
                                                                  base::ResultCode::NoDurableStore,
                                                                  base::ResultCode::NoLeader};

/// The zone part of an id "<zone>-<16 hex digits>".
std::string zoneOf(const model::JobId &id)
{
    return id.substr(0, id.rfind('-'));
}

model::JobId withZone(const model::JobId &id, const std::string &zone)
{
    return zone + id.substr(id.rfind('-'));
}

entry::DispatchReply toDispatchReply(const zone::ZoneReply &reply)
{
    return {reply.code, reply.reason, reply.status};
}

model::JobStatus makeStatus(const model::JobSpec &spec, model::JobState state, base::ResultCode code, const std::string &reason)
{
    model::JobStatus status;
    status.id = spec.id;
    status.kind = spec.kind;
    status.partner = spec.partner;
    status.name = spec.name;
    status.state = state;
    status.code = code;
    status.reason = reason;
    return status;
}

} // namespace

/// One submit with its progress through the zones. Shared by the callbacks of its calls.
struct RoutedDispatcher::Submission {
    model::JobSpec spec;
    base::SteadyTime deadline;
    bool homeZoneOnly = false; ///< Set for work with an idempotency key, which only its home zone may take.
    std::set<std::string> triedZones;
    observe::Span span;
    entry::DispatchDone done;
};

RoutedDispatcher::RoutedDispatcher(RoutingOptions routingOptions, link::LinkHub &linkHub, ZoneDirectory &zoneDirectory, base::Mailbox &timerMailbox)
    : options(std::move(routingOptions))
    , hub(linkHub)
    , directory(zoneDirectory)
    , timers(timerMailbox)
    , chooser(options, directory)
{
}

void RoutedDispatcher::submit(model::JobSpec spec, const std::string &traceparent, entry::DispatchDone done)
{
    auto submission = std::make_shared<Submission>();
    const base::SteadyTime now = base::steadyNow();
    const bool isRequest = spec.kind == model::JobKind::Request;
    submission->deadline = now + (isRequest ? spec.deadline : this->options.acceptTimeout);
    submission->homeZoneOnly = !spec.key.empty();
    submission->span = observe::Span("entry.route", traceparent);
    submission->span.set("work.id", spec.id);
    submission->done = std::move(done);
    const std::string zone = submission->homeZoneOnly ? zoneOf(spec.id) : this->chooser.firstZone(now);
    submission->spec = std::move(spec);
    this->submitTo(submission, zone);
}

void RoutedDispatcher::submitTo(const std::shared_ptr<Submission> &submission, const std::string &zone)
{
    submission->triedZones.insert(zone);
    submission->spec.id = withZone(submission->spec.id, zone);
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(submission->deadline - base::steadyNow());
    if (submission->spec.kind == model::JobKind::Request) {
        submission->spec.deadline = std::max(remaining, std::chrono::milliseconds(0));
    }
    const std::string traceparent = submission->span.traceparent();
    this->callLeader(zone, zone::SubmitCall{submission->spec, false}, remaining, traceparent, [this, submission](const zone::ZoneReply &reply) {
        this->handleSubmitReply(submission, reply);
    });
}

void RoutedDispatcher::handleSubmitReply(const std::shared_ptr<Submission> &submission, const zone::ZoneReply &reply)
{
    const std::string zone = zoneOf(submission->spec.id);
    if (reply.code == base::ResultCode::NoLeader) {
        if (reply.mayExist) {
            const std::string reason = "the answer of zone " + zone + " was lost; look the job up by its id";
            submission->done({base::ResultCode::Ok, {}, makeStatus(submission->spec, model::JobState::Unknown, base::ResultCode::OutcomeUnknown, reason)});
            return;
        }
        if (this->trySpill(submission, reply)) {
            return;
        }
        const bool remoteHome = submission->homeZoneOnly && zone != this->options.ownZone;
        const base::ResultCode code = remoteHome ? base::ResultCode::HomeZoneUnreachable : base::ResultCode::NoLeader;
        submission->done({base::ResultCode::Ok, {}, makeStatus(submission->spec, model::JobState::NotRun, code, reply.reason)});
        return;
    }
    if (reply.code == base::ResultCode::Ok && this->trySpill(submission, reply)) {
        return;
    }
    this->deliverReply(reply, zone, submission->span.traceparent(), submission->done);
}

bool RoutedDispatcher::trySpill(const std::shared_ptr<Submission> &submission, const zone::ZoneReply &reply)
{
    const base::ResultCode code = reply.code == base::ResultCode::Ok ? reply.status.code : reply.code;
    const bool notRun = reply.code == base::ResultCode::NoLeader || reply.status.state == model::JobState::NotRun;
    const bool zoneSpecific = std::find(ZoneSpecificRefusals.begin(), ZoneSpecificRefusals.end(), code) != ZoneSpecificRefusals.end();
    const base::SteadyTime now = base::steadyNow();
    if (submission->homeZoneOnly || !notRun || !zoneSpecific || now >= submission->deadline || submission->triedZones.size() >= this->options.maxZonesTried) {
        return false;
    }
    const std::string zone = this->chooser.nextZone(submission->triedZones, now);
    if (zone.empty()) {
        return false;
    }
    this->submitTo(submission, zone);
    return true;
}

void RoutedDispatcher::deliverReply(const zone::ZoneReply &reply, const std::string &zone, const std::string &traceparent, const entry::DispatchDone &done)
{
    if (reply.code != base::ResultCode::Ok || reply.status.answer.size() >= reply.answerBytes) {
        done(toDispatchReply(reply));
        return;
    }
    const auto fetch = std::make_shared<AnswerFetcher>(
        reply,
        [this, zone, traceparent](zone::AnswerCall pieceCall, LeaderReplyCallback fetched) {
            this->callLeader(zone, std::move(pieceCall), this->options.viewTimeout, traceparent, std::move(fetched));
        },
        [done](const zone::ZoneReply &whole) { done(toDispatchReply(whole)); });
    fetch->fetchNext();
}

void RoutedDispatcher::lookup(const model::JobId &id, std::chrono::milliseconds wait, const std::string &traceparent, entry::DispatchDone done)
{
    const std::string zone = zoneOf(id);
    if (!this->directory.hasZone(zone)) {
        done({base::ResultCode::NotFound, "zone " + zone + " does not exist; ids have the form <zone>-<16 hex digits>", {}});
        return;
    }
    this->callLeader(zone, zone::LookupCall{id, wait}, wait + LookupSlack, traceparent, [this, zone, traceparent, done](const zone::ZoneReply &reply) {
        this->deliverReply(reply, zone, traceparent, done);
    });
}

void RoutedDispatcher::cancel(const model::JobId &id, const std::string &traceparent, entry::DispatchDone done)
{
    const std::string zone = zoneOf(id);
    if (!this->directory.hasZone(zone)) {
        done({base::ResultCode::NotFound, "zone " + zone + " does not exist; ids have the form <zone>-<16 hex digits>", {}});
        return;
    }
    this->callLeader(zone, zone::CancelCall{id}, this->options.acceptTimeout, traceparent, [this, zone, traceparent, done](const zone::ZoneReply &reply) {
        this->deliverReply(reply, zone, traceparent, done);
    });
}

void RoutedDispatcher::announce(model::UpstreamReport report, entry::AnnounceDone done)
{
    const std::string zone = report.zone;
    if (!this->directory.hasZone(zone)) {
        done({base::ResultCode::FieldOutOfRange, "the settings contain no zone " + zone, 0, std::chrono::milliseconds(0)});
        return;
    }
    this->callLeader(zone, zone::AnnounceCall{std::move(report)}, this->options.announceTimeout, {}, [done](const zone::ZoneReply &reply) {
        done({reply.code, reply.reason, reply.epoch, reply.nextAnnouncementIn});
    });
}

void RoutedDispatcher::view(const std::string &what, const std::string &filter, entry::TextDone done)
{
    if (what == "explain") {
        const std::string zone = zoneOf(filter);
        if (!this->directory.hasZone(zone)) {
            done(base::ResultCode::NotFound, {});
            return;
        }
        this->callLeader(
            zone, zone::ViewCall{what, filter}, this->options.viewTimeout, {}, [done](const zone::ZoneReply &reply) { done(reply.code, reply.json); });
        return;
    }
    const std::vector<std::string> zones = this->directory.zones();
    const auto collector = std::make_shared<ViewCollector>(what, zones.size(), std::move(done));
    for (const std::string &zone : zones) {
        this->callLeader(zone, zone::ViewCall{what, filter}, this->options.viewTimeout, {}, [collector, zone](const zone::ZoneReply &reply) {
            collector->add(zone, reply);
        });
    }
}

void RoutedDispatcher::drain(const std::string &vm, bool draining, entry::TextDone done)
{
    const std::vector<std::string> zones = this->directory.zones();
    const auto collector = std::make_shared<ViewCollector>("drain", zones.size(), std::move(done));
    for (const std::string &zone : zones) {
        this->callLeader(zone, zone::DrainCall{vm, draining}, this->options.viewTimeout, {}, [collector, zone](const zone::ZoneReply &reply) {
            collector->add(zone, reply);
        });
    }
}

void RoutedDispatcher::changeMembers(const std::string &zone, const std::vector<std::string> &vms, const std::string &witness, entry::TextDone done)
{
    zone::MembersCall change;
    for (const std::string &vm : vms) {
        change.members.push_back({vm, this->options.hasDisk.count(vm) > 0 && this->options.hasDisk.at(vm), false});
    }
    if (!witness.empty()) {
        change.members.push_back({witness, this->options.hasDisk.count(witness) > 0 && this->options.hasDisk.at(witness), true});
    }
    for (const replication::Member &member : change.members) {
        if (this->options.hasDisk.count(member.vm) == 0) {
            done(base::ResultCode::UnknownVm, "the settings contain no VM " + member.vm + "; add it to [peers] first");
            return;
        }
    }
    if (!this->directory.hasZone(zone)) {
        done(base::ResultCode::NotFound, "the settings contain no zone " + zone);
        return;
    }
    this->callLeader(zone, std::move(change), this->options.acceptTimeout, {}, [done](const zone::ZoneReply &reply) {
        done(reply.code, reply.code == base::ResultCode::Ok ? "{}" : reply.reason);
    });
}

void RoutedDispatcher::callLeader(
    const std::string &zone, zone::CallBody body, std::chrono::milliseconds limit, const std::string &traceparent, LeaderReplyCallback done)
{
    const LeaderCall::Route route{this->hub, this->directory, this->timers};
    std::make_shared<LeaderCall>(route, zone::ZoneCall{zone, std::move(body)}, limit, traceparent, std::move(done))->start();
}

} // namespace cranberryreel::routing
