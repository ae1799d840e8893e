#include "zone/UpstreamFleet.h"

#include "observe/Log.h"
#include "zone/Commands.h"

#include <utility>

namespace cranberryreel::zone
{

namespace
{

const observe::Log Logger("zone.fleet");

constexpr std::chrono::milliseconds RetryRenewAfter{250};
constexpr std::chrono::milliseconds ProbeLostEvery{2000};

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
        // An earlier scheduler may have extended the lease until the moment its own leadership ended.
        entry.leaseSentAt = now;
        entry.nextRenew = now;
        this->inheritedIds.insert(record.id);
        this->updateAcceptance(this->entries.emplace(record.id, std::move(entry)).first->second);
    }
    this->unresolved = this->entries.size();
    const bool formedAnew = this->context.group.status().formationTerm == this->context.epoch;
    this->quietUntil = this->entries.empty() || formedAnew ? now + this->context.options.taskLease + this->context.options.deliveryMargin : now;
}

void UpstreamFleet::announced(const model::UpstreamReport &report, base::SteadyTime now)
{
    const auto place = this->entries.find(report.id);
    if (place == this->entries.end() || place->second.record != recordOf(report)) {
        this->record(report, now);
        return;
    }
    UpstreamEntry &entry = place->second;
    if (entry.leaving != report.leaving) {
        entry.leaving = report.leaving;
        this->updateAcceptance(entry);
    }
    if (entry.phase != UpstreamPhase::Live || entry.suspect) {
        entry.nextRenew = std::min(entry.nextRenew, now);
    }
    this->listener.upstreamReported(report, false, now);
}

void UpstreamFleet::record(const model::UpstreamReport &report, base::SteadyTime now)
{
    if (report.id.empty() || report.address.empty() || !this->recording.insert(report.id).second) {
        return;
    }
    const UpstreamRecord record = recordOf(report);
    const bool leaving = report.leaving;
    this->context.group.propose(seeUpstreamCommand(record),
                                replication::Durability::Majority,
                                [this, record, leaving, now, guard = this->context.guard](const replication::ProposeResult &result) {
                                    guard([this, record, leaving, now, code = result.code] {
                                        this->recording.erase(record.id);
                                        if (code == base::ResultCode::Ok) {
                                            this->recorded(record, leaving, now);
                                        }
                                    });
                                });
}

void UpstreamFleet::recorded(const UpstreamRecord &record, bool leaving, base::SteadyTime now)
{
    const auto place = this->entries.find(record.id);
    if (place == this->entries.end()) {
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
    UpstreamEntry &entry = place->second;
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
        this->watch(entry, now);
        if (!entry.renewing && entry.nextRenew <= now && this->context.mayAct()) {
            this->renew(entry, now);
        }
    }
}

void UpstreamFleet::watch(UpstreamEntry &entry, base::SteadyTime now)
{
    const SchedulerOptions &options = this->context.options;
    if (entry.phase == UpstreamPhase::Live && now - entry.lastContact > options.silentAfter) {
        Logger.warn("Upstream {} is silent.", entry.record.id);
        this->setPhase(entry, UpstreamPhase::Silent);
    }
    const bool waiting = entry.phase == UpstreamPhase::Silent || entry.phase == UpstreamPhase::Fencing;
    if (waiting && now - entry.leaseSentAt > options.taskLease + options.deliveryMargin) {
        Logger.warn("The lease of upstream {} is over.", entry.record.id);
        this->setPhase(entry, UpstreamPhase::Lost);
        this->listener.upstreamEnded(entry.record.id, {});
    }
}

void UpstreamFleet::renew(UpstreamEntry &entry, base::SteadyTime now)
{
    const bool leased = entry.phase == UpstreamPhase::Live && !entry.suspect;
    upstream::RenewRequest order;
    order.epoch = this->context.epoch;
    order.lease = leased ? this->context.options.taskLease : std::chrono::milliseconds(0);
    order.includeRunning = !leased || now >= entry.nextWhole;
    order.acknowledged = std::exchange(entry.acknowledge, {});
    entry.renewing = true;
    if (leased) {
        entry.leaseSentAt = now;
    }
    if (order.includeRunning) {
        entry.nextWhole = now + this->context.options.wholeReportEvery;
    }
    this->context.adapter.renew(entry.record.address,
                                order,
                                this->context.options.callLimit,
                                [this, id = entry.record.id, sent = SentRenewal{order, now}, guard = this->context.guard](const upstream::RenewAnswer &answer) {
                                    guard([this, id, answer, sent] { this->renewed(id, answer, sent); });
                                });
}

void UpstreamFleet::renewed(const std::string &id, const upstream::RenewAnswer &answer, const SentRenewal &sent)
{
    const auto place = this->entries.find(id);
    if (place == this->entries.end()) {
        return;
    }
    UpstreamEntry &entry = place->second;
    const base::SteadyTime now = base::steadyNow();
    entry.renewing = false;
    if (answer.code == base::ResultCode::Ok && answer.report.id == id) {
        // A call without a lease that was answered is followed by one with a lease at once.
        entry.nextRenew = sent.order.lease.count() > 0 ? sent.at + this->context.options.renewEvery : now;
        this->answered(entry, answer.report, sent);
        return;
    }
    entry.acknowledge.insert(entry.acknowledge.end(), sent.order.acknowledged.begin(), sent.order.acknowledged.end());
    entry.nextRenew = now + (entry.phase == UpstreamPhase::Lost ? ProbeLostEvery : RetryRenewAfter);
    if (answer.code == base::ResultCode::UpstreamStaleEpoch) {
        this->listener.fencedOut(id);
        return;
    }
    if (!entry.suspect) {
        entry.suspect = true;
        this->updateAcceptance(entry);
    }
}

void UpstreamFleet::answered(UpstreamEntry &entry, const model::UpstreamReport &report, const SentRenewal &sent)
{
    entry.lastContact = sent.at;
    entry.leaving = report.leaving;
    if (report.boot != entry.record.boot) {
        model::UpstreamReport changed = report;
        changed.address = entry.record.address;
        this->record(changed, base::steadyNow());
        return;
    }
    entry.suspect = false;
    this->listener.upstreamReported(report, sent.order.includeRunning, sent.at);
    this->setPhase(entry, UpstreamPhase::Live);
    this->updateAcceptance(entry);
}

void UpstreamFleet::setPhase(UpstreamEntry &entry, UpstreamPhase phase)
{
    if (entry.phase == phase) {
        return;
    }
    const bool wasUnresolved = entry.phase == UpstreamPhase::Fencing && this->inheritedIds.erase(entry.record.id) > 0;
    this->unresolved -= wasUnresolved ? 1 : 0;
    entry.phase = phase;
    this->updateAcceptance(entry);
}

void UpstreamFleet::updateAcceptance(UpstreamEntry &entry)
{
    const bool accepting = entry.phase == UpstreamPhase::Live && !entry.leaving && !entry.suspect;
    entry.accepting = accepting;
    this->listener.acceptanceChanged(entry);
}

void UpstreamFleet::suspect(const std::string &id, base::SteadyTime now)
{
    if (const auto place = this->entries.find(id); place != this->entries.end() && !place->second.suspect) {
        place->second.suspect = true;
        place->second.nextRenew = now;
        this->updateAcceptance(place->second);
    }
}

void UpstreamFleet::leaseSent(const std::string &id, base::SteadyTime now)
{
    if (const auto place = this->entries.find(id); place != this->entries.end()) {
        place->second.leaseSentAt = now;
    }
}

void UpstreamFleet::acknowledge(const std::string &id, model::TaskAttempt ended)
{
    if (const auto place = this->entries.find(id); place != this->entries.end()) {
        place->second.acknowledge.push_back(std::move(ended));
    }
}

std::chrono::milliseconds UpstreamFleet::announceInterval() const
{
    const SchedulerOptions &options = this->context.options;
    return std::max(options.announceEvery, options.announceShare * static_cast<int>(this->entries.size()));
}

const UpstreamEntry *UpstreamFleet::find(const std::string &id) const
{
    const auto place = this->entries.find(id);
    return place == this->entries.end() ? nullptr : &place->second;
}

std::vector<const UpstreamEntry *> UpstreamFleet::all() const
{
    std::vector<const UpstreamEntry *> entriesNow;
    for (const auto &[id, entry] : this->entries) {
        entriesNow.push_back(&entry);
    }
    return entriesNow;
}

bool UpstreamFleet::recovered() const
{
    return this->unresolved == 0;
}

bool UpstreamFleet::mayPlace(base::SteadyTime now) const
{
    return now >= this->quietUntil;
}

} // namespace cranberryreel::zone
