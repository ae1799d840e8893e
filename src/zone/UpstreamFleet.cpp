#include "zone/UpstreamFleet.h"

#include "observe/Log.h"
#include "zone/Commands.h"

#include <utility>

namespace cranberryreel::zone
{

namespace
{

const observe::Log Logger("zone.fleet");

constexpr std::chrono::milliseconds RenewRetryDelay{250};
constexpr std::chrono::milliseconds LostProbeInterval{2000};
/// Calls to an announced address that does not answer; the upstream announces itself again within seconds.
constexpr int BootTries = 4;

UpstreamRecord recordOf(const model::UpstreamReport &report)
{
    return {report.id, report.vm, report.boot, report.address, report.service, report.slots};
}

} // namespace

UpstreamFleet::UpstreamFleet(SchedulerContext &schedulerContext, FleetListener &fleetListener)
    : context(schedulerContext)
    , listener(fleetListener)
{
}

void UpstreamFleet::takeOver(base::SteadyTime now)
{
    for (const UpstreamRecord &record : this->context.store.upstreams()) {
        UpstreamEntry entry;
        entry.record = record;
        entry.lastContact = now;
        // An earlier leader may have extended the lease until its own leadership ended.
        entry.leaseSentAt = now;
        entry.nextRenew = now;
        this->unresolvedIds.insert(record.id);
        this->updateAcceptance(this->entries.emplace(record.id, std::move(entry)).first->second);
    }
    this->unresolvedCount = this->entries.size();
    const bool formedAnew = this->context.group.status().formationTerm == this->context.epoch;
    this->placementBlockedUntil = this->entries.empty() || formedAnew ? now + this->context.options.taskLease + this->context.options.deliveryMargin : now;
}

void UpstreamFleet::handleAnnouncement(const model::UpstreamReport &report, base::SteadyTime now)
{
    const auto found = this->entries.find(report.id);
    if (found != this->entries.end() && found->second.record.boot != report.boot) {
        if (!report.address.empty() && this->bootsInVerification.insert(report.id).second) {
            this->verifyBoot({report, found->second.record.boot, BootTries});
        }
        return;
    }
    if (found == this->entries.end() || found->second.record != recordOf(report)) {
        this->proposeRecord(report, now);
        return;
    }
    UpstreamEntry &entry = found->second;
    if (entry.leaving != report.leaving) {
        entry.leaving = report.leaving;
        this->updateAcceptance(entry);
    }
    if (entry.phase != UpstreamPhase::Live || entry.suspect) {
        entry.nextRenew = std::min(entry.nextRenew, now);
    }
    this->listener.upstreamReported(report, false, now);
}

/// Asks at the announced address which boot runs. Boot ids have no order, and the announcement may have been sent before the known boot began.
void UpstreamFleet::verifyBoot(const AnnouncedBoot &announced)
{
    if (!this->context.holdsLeaderLease()) {
        this->bootsInVerification.erase(announced.report.id);
        return;
    }
    upstream::RenewRequest request;
    request.epoch = this->context.epoch;
    this->context.adapter.renew(announced.report.address,
                                request,
                                this->context.options.callTimeout,
                                [this, announced, postInTerm = this->context.postInTerm](const upstream::RenewAnswer &answer) {
                                    postInTerm([this, announced, answer] { this->handleBootAnswer(announced, answer); });
                                });
}

void UpstreamFleet::handleBootAnswer(const AnnouncedBoot &announced, const upstream::RenewAnswer &answer)
{
    const std::string &id = announced.report.id;
    const UpstreamEntry *entry = this->find(id);
    const bool superseded = entry == nullptr || entry->record.boot != announced.knownBoot;
    const bool answered = answer.code == base::ResultCode::Ok && answer.report.id == id;
    const bool fencedOut = answer.code == base::ResultCode::UpstreamStaleEpoch;
    if (!superseded && !answered && !fencedOut && announced.triesLeft > 1) {
        const AnnouncedBoot again{announced.report, announced.knownBoot, announced.triesLeft - 1};
        this->context.postInTermAfter(RenewRetryDelay, [this, again] { this->verifyBoot(again); });
        return;
    }
    this->bootsInVerification.erase(id);
    if (fencedOut) {
        this->listener.fencedOut(id);
    } else if (!superseded && answered && answer.report.boot == announced.report.boot) {
        this->proposeRecord(announced.report, base::steadyNow());
    }
}

void UpstreamFleet::proposeRecord(const model::UpstreamReport &report, base::SteadyTime now)
{
    if (report.id.empty() || report.address.empty() || !this->recordsInProgress.insert(report.id).second) {
        return;
    }
    const UpstreamRecord record = recordOf(report);
    const bool leaving = report.leaving;
    this->context.group.propose(recordUpstreamCommand(record),
                                replication::Durability::Majority,
                                [this, record, leaving, now, postInTerm = this->context.postInTerm](const replication::ProposeResult &result) {
                                    postInTerm([this, record, leaving, now, code = result.code] {
                                        this->recordsInProgress.erase(record.id);
                                        if (code == base::ResultCode::Ok) {
                                            this->handleRecordCommitted(record, leaving, now);
                                        }
                                    });
                                });
}

void UpstreamFleet::handleRecordCommitted(const UpstreamRecord &record, bool leaving, base::SteadyTime now)
{
    const auto found = this->entries.find(record.id);
    if (found == this->entries.end()) {
        Logger.info("Upstream {} joined on VM {}.", record.id, record.vm);
        UpstreamEntry entry;
        entry.record = record;
        entry.leaving = leaving;
        entry.lastContact = now;
        entry.leaseSentAt = now;
        entry.nextRenew = now;
        this->updateAcceptance(this->entries.emplace(record.id, std::move(entry)).first->second);
        this->tick(now);
        return;
    }
    UpstreamEntry &entry = found->second;
    const bool restarted = entry.record.boot != record.boot;
    entry.record = record;
    entry.leaving = leaving;
    entry.nextRenew = now;
    if (restarted) {
        Logger.info("Upstream {} restarted.", record.id);
        this->setPhase(entry, UpstreamPhase::Fencing);
        entry.lastContact = now;
        entry.leaseSentAt = now;
        this->listener.upstreamEnded(record.id, record.boot);
    }
    this->updateAcceptance(entry);
    this->tick(now);
}

void UpstreamFleet::tick(base::SteadyTime now)
{
    for (auto &[id, entry] : this->entries) {
        this->checkSilence(entry, now);
        if (!entry.renewing && entry.nextRenew <= now && this->context.holdsLeaderLease()) {
            this->sendRenewal(entry, now);
        }
    }
}

void UpstreamFleet::checkSilence(UpstreamEntry &entry, base::SteadyTime now)
{
    const SchedulerOptions &options = this->context.options;
    if (entry.phase == UpstreamPhase::Live && now - entry.lastContact > options.silentAfter) {
        Logger.warn("Upstream {} is silent; it gets no new work.", entry.record.id);
        this->setPhase(entry, UpstreamPhase::Silent);
    }
    const bool waiting = entry.phase == UpstreamPhase::Silent || entry.phase == UpstreamPhase::Fencing;
    if (waiting && now - entry.leaseSentAt > options.taskLease + options.deliveryMargin) {
        Logger.warn("Upstream {} is lost: its lease has expired.", entry.record.id);
        this->setPhase(entry, UpstreamPhase::Lost);
        this->listener.upstreamEnded(entry.record.id, {});
    }
}

void UpstreamFleet::sendRenewal(UpstreamEntry &entry, base::SteadyTime now)
{
    const bool leased = entry.phase == UpstreamPhase::Live && !entry.suspect;
    upstream::RenewRequest request;
    request.epoch = this->context.epoch;
    request.lease = leased ? this->context.options.taskLease : std::chrono::milliseconds(0);
    request.includeRunning = !leased || now >= entry.nextFullReport;
    request.acknowledged = std::exchange(entry.pendingAcknowledgements, {});
    entry.renewing = true;
    if (leased) {
        entry.leaseSentAt = now;
    }
    if (request.includeRunning) {
        entry.nextFullReport = now + this->context.options.fullReportInterval;
    }
    this->context.adapter.renew(
        entry.record.address,
        request,
        this->context.options.callTimeout,
        [this, id = entry.record.id, sent = SentRenewal{request, now}, postInTerm = this->context.postInTerm](const upstream::RenewAnswer &answer) {
            postInTerm([this, id, answer, sent] { this->handleRenewalAnswer(id, answer, sent); });
        });
}

void UpstreamFleet::handleRenewalAnswer(const std::string &id, const upstream::RenewAnswer &answer, const SentRenewal &sent)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return;
    }
    UpstreamEntry &entry = found->second;
    const base::SteadyTime now = base::steadyNow();
    entry.renewing = false;
    if (answer.code == base::ResultCode::Ok && answer.report.id == id) {
        // An answered renew request without a lease is followed at once by one with a lease.
        entry.nextRenew = sent.request.lease.count() > 0 ? sent.at + this->context.options.renewInterval : now;
        this->applyRenewalReport(entry, answer.report, sent);
        return;
    }
    entry.pendingAcknowledgements.insert(entry.pendingAcknowledgements.end(), sent.request.acknowledged.begin(), sent.request.acknowledged.end());
    entry.nextRenew = now + (entry.phase == UpstreamPhase::Lost ? LostProbeInterval : RenewRetryDelay);
    if (answer.code == base::ResultCode::UpstreamStaleEpoch) {
        this->listener.fencedOut(id);
        return;
    }
    if (!entry.suspect) {
        entry.suspect = true;
        this->updateAcceptance(entry);
    }
}

void UpstreamFleet::applyRenewalReport(UpstreamEntry &entry, const model::UpstreamReport &report, const SentRenewal &sent)
{
    entry.lastContact = sent.at;
    entry.leaving = report.leaving;
    if (report.boot != entry.record.boot) {
        model::UpstreamReport changed = report;
        changed.address = entry.record.address;
        this->proposeRecord(changed, base::steadyNow());
        return;
    }
    entry.suspect = false;
    this->listener.upstreamReported(report, sent.request.includeRunning, sent.at);
    this->setPhase(entry, UpstreamPhase::Live);
    this->updateAcceptance(entry);
}

void UpstreamFleet::setPhase(UpstreamEntry &entry, UpstreamPhase phase)
{
    if (entry.phase == phase) {
        return;
    }
    const bool wasUnresolved = entry.phase == UpstreamPhase::Fencing && this->unresolvedIds.erase(entry.record.id) > 0;
    this->unresolvedCount -= wasUnresolved ? 1 : 0;
    entry.phase = phase;
    this->updateAcceptance(entry);
}

void UpstreamFleet::updateAcceptance(UpstreamEntry &entry)
{
    const bool accepting = entry.phase == UpstreamPhase::Live && !entry.leaving && !entry.suspect;
    entry.accepting = accepting;
    this->listener.acceptanceChanged(entry);
}

void UpstreamFleet::markSuspect(const std::string &id, base::SteadyTime now)
{
    if (const auto found = this->entries.find(id); found != this->entries.end() && !found->second.suspect) {
        found->second.suspect = true;
        found->second.nextRenew = now;
        this->updateAcceptance(found->second);
    }
}

void UpstreamFleet::noteLeaseSent(const std::string &id, base::SteadyTime now)
{
    if (const auto found = this->entries.find(id); found != this->entries.end()) {
        found->second.leaseSentAt = now;
    }
}

void UpstreamFleet::acknowledge(const std::string &id, model::TaskAttempt ended)
{
    if (const auto found = this->entries.find(id); found != this->entries.end()) {
        found->second.pendingAcknowledgements.push_back(std::move(ended));
    }
}

std::chrono::milliseconds UpstreamFleet::announceInterval() const
{
    const SchedulerOptions &options = this->context.options;
    return std::max(options.minAnnounceInterval, options.announceIntervalPerUpstream * static_cast<int>(this->entries.size()));
}

const UpstreamEntry *UpstreamFleet::find(const std::string &id) const
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second;
}

std::vector<const UpstreamEntry *> UpstreamFleet::allEntries() const
{
    std::vector<const UpstreamEntry *> all;
    for (const auto &[id, entry] : this->entries) {
        all.push_back(&entry);
    }
    return all;
}

bool UpstreamFleet::isRecovered() const
{
    return this->unresolvedCount == 0;
}

bool UpstreamFleet::mayPlace(base::SteadyTime now) const
{
    return now >= this->placementBlockedUntil;
}

} // namespace cranberryreel::zone
