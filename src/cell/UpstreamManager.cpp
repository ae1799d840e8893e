#include "cell/UpstreamManager.h"

#include "cell/AnnouncementFilter.h"
#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

/// Time limit of a renewal beyond its wait; an answer takes milliseconds.
constexpr std::chrono::milliseconds RenewalLimit{400};
/// Pause between renewals, so that ends in quick succession share one renewal.
constexpr std::chrono::milliseconds RenewalSpacing{25};
constexpr std::chrono::milliseconds SilentRetryInterval{250};
/// An upstream without an announcement for this long is probed with a renewal. VMs forward unchanged announcements every 4 s (AnnouncementFilter).
constexpr std::chrono::seconds AnnouncementMaxAge{9};
constexpr std::chrono::seconds IdleRenewalInterval{1};
/// A lost upstream without an announcement for this long is removed.
constexpr std::chrono::seconds RemoveAfter{12};
/// An upstream is excluded after this many failures in a row of tasks of different jobs.
constexpr int FailuresToExclude = 3;
constexpr std::chrono::milliseconds MinFailureExclusion{3000};
constexpr std::chrono::milliseconds MinSlowExclusion{2000};
constexpr std::chrono::milliseconds SpeedCheckInterval{200};
/// Rounding allowance beyond the deadline of a start request.
constexpr std::chrono::milliseconds DeadlineSlack{100};

/// -1 when `earlier` never was.
std::int64_t millisecondsBetween(base::SteadyTime earlier, base::SteadyTime later)
{
    return earlier == base::SteadyTime() ? -1 : std::chrono::duration_cast<std::chrono::milliseconds>(later - earlier).count();
}

wire::EndKind toEndKind(RunEndKind kind)
{
    switch (kind) {
    case RunEndKind::Done:
        return wire::EndKind::Done;
    case RunEndKind::Failed:
        return wire::EndKind::Failed;
    case RunEndKind::Stopped:
        return wire::EndKind::Stopped;
    case RunEndKind::Lapsed:
        return wire::EndKind::Lapsed;
    case RunEndKind::Broken:
        return wire::EndKind::Broken;
    case RunEndKind::Alone:
        return wire::EndKind::Alone;
    }
    return wire::EndKind::Failed;
}

} // namespace

UpstreamManager::UpstreamManager(TermContext &termContext, RunManager &runManager)
    : context(termContext)
    , runs(runManager)
{
    this->runs.onUpstreamReplaced = [this](std::uint64_t number) { this->handleOtherUpstream(number); };
    this->runs.onUpstreamRestarted = [this](std::uint64_t number) { this->handleUnknownRestart(number); };
}

UpstreamTracker &UpstreamManager::trackerOf(const std::string &id, std::uint64_t number, base::SteadyTime now)
{
    if (const auto found = this->context.trackers.find(number); found != this->context.trackers.end()) {
        return found->second;
    }
    const std::optional<wire::UpstreamT> record = this->context.upstreamRecord(number);
    const bool longLease = record && record->long_lease;
    UpstreamTracker &added = this->context.trackers.try_emplace(number, this->context.options.leaseMax, now, longLease).first->second;
    added.incarnation = this->context.incarnationNumbers.next(id);
    if (longLease) {
        Logger.info("event=long_lease_inherited upstream={} number={} leases_ms={}", id, number, added.inheritedLeaseTime(now).count());
    }
    return added;
}

void UpstreamManager::handleAnnouncement(const wire::AnnouncementT &announcement, const CompletionCallback &done)
{
    const base::SteadyTime now = base::steadyNow();
    const wire::UpstreamT &announced = *announcement.upstream;
    std::optional<wire::UpstreamT> known;
    this->context.store.read([&](const CellState &state) {
        if (const wire::UpstreamT *found = state.upstreamNamed(announced.id)) {
            known = *found;
        }
    });
    if (!known) {
        Logger.info("event=upstream_added upstream={} address={} zone={} born={}", announced.id, announced.address, announced.zone, announced.born_ms);
        this->proposeUpstream(0, announced, done);
        return;
    }
    UpstreamTracker &tracker = this->trackerOf(known->id, known->number, now);
    const std::int64_t born = tracker.bornOr(known->born_ms);
    if (announced.born_ms < born) {
        // A delayed announcement, or the upstream's clock was set back before it started again. A renewal shows which incarnation runs.
        tracker.earlierBorn = announced;
        tracker.nextRenewal = now;
        done(base::ResultCode::Ok);
        this->context.wake();
        return;
    }
    if (announced.born_ms == born && announcement.sequence <= tracker.announcementSequence) {
        done(base::ResultCode::Ok);
        return;
    }
    if (announced.born_ms > born) {
        this->beginIncarnation(known->number, tracker, announced.born_ms, born, now);
        this->readAtOnce(known->number, tracker, {announced.id, announced.address}, now);
    }
    tracker.announcementSequence = announcement.sequence;
    tracker.announcedAt = now;
    tracker.recordClock(std::chrono::milliseconds(announcement.clock_ms), now);
    if (isSameDescription(announced, *known)) {
        done(base::ResultCode::Ok);
        return;
    }
    if (announced.draining != known->draining) {
        Logger.info("event=upstream_draining upstream={} number={} draining={}", announced.id, known->number, announced.draining);
    }
    this->proposeUpstream(known->number, announced, done);
}

void UpstreamManager::proposeUpstream(std::uint64_t number, wire::UpstreamT upstream, const CompletionCallback &done)
{
    const auto tracker = this->context.trackers.find(number);
    upstream.long_lease = tracker != this->context.trackers.end() && tracker->second.mayHoldLongLease(base::steadyNow());
    this->context.batch.command().upstreams.push_back(std::make_unique<wire::UpstreamT>(std::move(upstream)));
    this->proposedRecords.insert(number);
    this->context.batch.onOutcome([this, number, done](base::ResultCode code) {
        this->proposedRecords.erase(this->proposedRecords.find(number));
        done(code);
    });
    this->context.wake();
}

bool UpstreamManager::isRecorded(std::uint64_t number, const UpstreamTracker &tracker, base::SteadyTime now) const
{
    return this->context.store.read([number, &tracker, now](const CellState &state) {
        const auto record = state.upstreams().find(number);
        return record != state.upstreams().end() && record->second.born_ms == tracker.bornOr(record->second.born_ms)
            && (record->second.long_lease || !tracker.mayHoldLongLease(now));
    });
}

void UpstreamManager::recordLongLeases(base::SteadyTime now)
{
    std::vector<wire::UpstreamT> changes;
    this->context.store.read([this, now, &changes](const CellState &state) {
        for (const auto &[number, tracker] : this->context.trackers) {
            const auto record = state.upstreams().find(number);
            // Another change that is not committed yet may tell more than the record.
            const bool current = record != state.upstreams().end() && record->second.born_ms == tracker.bornOr(record->second.born_ms)
                && this->proposedRecords.count(number) == 0;
            if (current && record->second.long_lease != tracker.mayHoldLongLease(now)) {
                changes.push_back(record->second);
            }
        }
    });
    for (const wire::UpstreamT &change : changes) {
        Logger.info("event=long_lease_recorded upstream={} number={} held={}", change.id, change.number, !change.long_lease);
        this->proposeUpstream(change.number, change, [](base::ResultCode) {});
    }
}

void UpstreamManager::handleLeave(const std::string &id, const CompletionCallback &done)
{
    const base::SteadyTime now = base::steadyNow();
    const std::uint64_t number = this->context.store.read([&id](const CellState &state) {
        const wire::UpstreamT *found = state.upstreamNamed(id);
        return found == nullptr ? std::uint64_t{0} : found->number;
    });
    if (number != 0) {
        Logger.info("event=upstream_leaving upstream={} number={}", id, number);
        UpstreamTracker &tracker = this->trackerOf(id, number, now);
        // The message may be a delayed one of an earlier incarnation. Renewals go on and show whether the present one has ended.
        tracker.leaving = true;
        tracker.nextRenewal = now;
    }
    done(base::ResultCode::Ok);
    this->context.wake();
}

/// Another upstream answered at the recorded address.
void UpstreamManager::handleOtherUpstream(std::uint64_t number)
{
    const std::optional<wire::UpstreamT> record = this->context.upstreamRecord(number);
    const auto tracker = this->context.trackers.find(number);
    if (record && tracker != this->context.trackers.end() && tracker->second.bornOr(record->born_ms) != record->born_ms) {
        // The address is that of an earlier incarnation until the record of the known one is committed.
        tracker->second.nextRenewal = base::steadyNow() + RenewalSpacing;
        return;
    }
    this->removeUpstream(number);
}

void UpstreamManager::removeUpstream(std::uint64_t number)
{
    this->endAllRuns(number);
    std::optional<wire::UpstreamT> change = this->context.upstreamRecord(number);
    this->context.trackers.erase(number);
    this->context.speedMonitor.forget(number);
    if (change) {
        Logger.info("event=upstream_removed upstream={} number={}", change->id, number);
        change->gone = true;
        // A tick before the commit keeps a new tracker for the record that is about to go.
        this->proposeUpstream(number, *change, [this, number](base::ResultCode code) {
            if (code == base::ResultCode::Ok) {
                this->context.trackers.erase(number);
            }
        });
    }
}

void UpstreamManager::endAllRuns(std::uint64_t number)
{
    for (const RunKey &key : this->context.runs.runsOnUpstream(number)) {
        TrackedRun &run = *this->context.runs.find(key);
        this->runs.proposeEnd(run, wire::EndKind::UpstreamGone, run.checkpoint);
    }
}

/// Whether the known incarnation announced its end. The record may still be that of an earlier one.
bool UpstreamManager::isDraining(std::uint64_t number, const UpstreamTracker &tracker) const
{
    return this->context.store.read([number, &tracker](const CellState &state) {
        const auto upstream = state.upstreams().find(number);
        return upstream != state.upstreams().end() && upstream->second.draining && tracker.bornOr(upstream->second.born_ms) == upstream->second.born_ms;
    });
}

bool UpstreamManager::needsRenewal(std::uint64_t number, const UpstreamTracker &tracker, base::SteadyTime now) const
{
    const bool announcementOverdue = now - tracker.announcedAt > AnnouncementMaxAge;
    return announcementOverdue || !tracker.readBack || tracker.leaving || tracker.earlierBorn || this->context.runs.countOnUpstream(number) > 0
        || tracker.lastCommittedEnd > tracker.lastAcknowledgedEnd;
}

void UpstreamManager::tick(base::SteadyTime now)
{
    if (now >= this->nextSpeedCheck) {
        this->nextSpeedCheck = now + SpeedCheckInterval;
        this->excludeSlow(now);
        this->context.speedMonitor.update(now);
        this->recordLongLeases(now);
    }
    std::vector<std::pair<std::uint64_t, UpstreamTarget>> known;
    this->context.store.read([&known](const CellState &state) {
        for (const auto &[number, upstream] : state.upstreams()) {
            known.emplace_back(number, UpstreamTarget{upstream.id, upstream.address});
        }
    });
    for (const auto &[number, target] : known) {
        UpstreamTracker &tracker = this->trackerOf(target.id, number, now);
        if (tracker.silentCalls > 0 && tracker.leasesExpired(now)) {
            if (!std::exchange(tracker.isLost, true)) {
                Logger.warn("event=upstream_lost upstream={} number={} silent_calls={} runs={} draining={} incarnation={} since_answer_ms={} "
                            "since_grant_ms={}",
                            target.id,
                            number,
                            tracker.silentCalls,
                            this->context.runs.countOnUpstream(number),
                            this->isDraining(number, tracker),
                            tracker.incarnation,
                            millisecondsBetween(tracker.answeredAt, now),
                            millisecondsBetween(tracker.grantedAt, now));
                tracker.readBack = false;
            }
            this->endAllRuns(number); // At each tick, since a placement may have been committed after the loss.
            if (now - tracker.announcedAt > RemoveAfter && this->context.runs.countOnUpstream(number) == 0) {
                this->removeUpstream(number);
                continue;
            }
        }
        if (!tracker.renewalPending && now >= tracker.nextRenewal && this->needsRenewal(number, tracker, now) && this->context.holdsLease()) {
            this->sendRenewal(number, tracker, target, now);
        }
    }
}

void UpstreamManager::sendRenewal(std::uint64_t number, UpstreamTracker &tracker, const UpstreamTarget &target, base::SteadyTime now)
{
    RenewRequest request;
    request.epoch = this->context.epochOf(tracker);
    request.acknowledged = tracker.endToAcknowledge(now);
    if (tracker.readBack && tracker.silentCalls == 0 && !tracker.retryingRenewal) {
        request.deadline = tracker.grantLease(now);
        // An acknowledgement that this renewal withholds follows right after its answer.
        const bool withheld = request.acknowledged == 0 && tracker.lastCommittedEnd > tracker.lastAcknowledgedEnd;
        request.wait = this->context.runs.countOnUpstream(number) > 0 && !withheld ? tracker.renewalWait() : std::chrono::milliseconds(0);
    }
    tracker.renewalPending = true;
    tracker.renewalSentAt = now;
    this->context.calls.renew(
        target,
        request,
        request.wait + RenewalLimit,
        [this, post = this->context.post, number = number, incarnation = tracker.incarnation, acknowledged = request.acknowledged, now](RenewResult result) {
            post([this, number, incarnation, acknowledged, now, result = std::move(result)] {
                this->handleRenewal(number, incarnation, acknowledged, now, result);
            });
        });
}

void UpstreamManager::handleRenewal(
    std::uint64_t number, std::uint64_t incarnation, std::uint64_t acknowledged, base::SteadyTime sentAt, const RenewResult &result)
{
    const base::SteadyTime now = base::steadyNow();
    const auto found = this->context.trackers.find(number);
    if (found == this->context.trackers.end() || found->second.incarnation != incarnation) {
        return;
    }
    UpstreamTracker &tracker = found->second;
    tracker.renewalPending = false;
    if (result.callResult.status == UpstreamCallStatus::OtherUpstream) {
        this->handleOtherUpstream(number);
        return;
    }
    if (result.callResult.status != UpstreamCallStatus::Done) {
        this->handleSilence(number, tracker, now, result.callResult.status);
        return;
    }
    const std::int64_t born = this->context.store.read([number](const CellState &state) {
        const auto upstream = state.upstreams().find(number);
        return upstream == state.upstreams().end() ? std::int64_t{0} : upstream->second.born_ms;
    });
    // The record of an incarnation that announced itself just now may not be committed yet. A later incarnation may have been born earlier by its clock.
    if (result.bornMs != 0 && result.bornMs != tracker.bornOr(born)) {
        this->handleRestart(number, tracker, result.bornMs, tracker.bornOr(born));
        return;
    }
    tracker.earlierBorn.reset();
    // An upstream drains before it leaves, so an earlier incarnation of this one sent the message.
    tracker.leaving = tracker.leaving && this->isDraining(number, tracker);
    if (tracker.silentCalls > 0) {
        Logger.info("event=upstream_responsive number={} after_silent_calls={}", number, tracker.silentCalls);
    }
    tracker.recordAnswer(acknowledged, now);
    tracker.nextRenewal = now + RenewalSpacing;
    if (result.callResult.clock) {
        tracker.recordClock(*result.callResult.clock, now);
    }
    this->processLists(number, tracker, sentAt, result);
    const bool allAcknowledged = tracker.lastProposedEnd == tracker.lastCommittedEnd && tracker.lastCommittedEnd == tracker.lastAcknowledgedEnd;
    if (tracker.readBack && this->context.runs.countOnUpstream(number) == 0 && allAcknowledged) {
        tracker.nextRenewal = now + IdleRenewalInterval;
    }
    this->context.wake();
}

void UpstreamManager::beginIncarnation(std::uint64_t number, UpstreamTracker &tracker, std::int64_t bornMs, std::int64_t earlierBornMs, base::SteadyTime now)
{
    const std::vector<RunKey> keys = this->context.runs.runsOnUpstream(number);
    const auto unanswered = std::count_if(keys.begin(), keys.end(), [this](const RunKey &key) {
        const TrackedRun &run = *this->context.runs.find(key);
        return run.startUnanswered || (run.callPending && run.phase == RunPhase::StartRequested);
    });
    const std::int64_t sinceGrant = millisecondsBetween(tracker.grantedAt, now);
    const std::optional<wire::UpstreamT> record = this->context.upstreamRecord(number);
    for (const RunKey &key : keys) {
        this->context.runs.find(key)->beginIncarnation();
    }
    tracker.beginIncarnation(bornMs, now);
    if (record) {
        tracker.incarnation = this->context.incarnationNumbers.next(record->id);
    }
    this->context.speedMonitor.forget(number);
    Logger.info("event=upstream_restarted upstream={} number={} born={} earlier={} incarnation={} runs={} unanswered_starts={} "
                "since_grant_ms={} leases_ms={}",
                record ? record->id : std::string(),
                number,
                bornMs,
                earlierBornMs,
                tracker.incarnation,
                keys.size(),
                unanswered,
                sinceGrant,
                tracker.inheritedLeaseTime(now).count());
}

void UpstreamManager::readAtOnce(std::uint64_t number, UpstreamTracker &tracker, const UpstreamTarget &target, base::SteadyTime now)
{
    if (this->context.holdsLease()) {
        this->sendRenewal(number, tracker, target, now);
    }
}

/// An answer to a start showed that the upstream has started again. The answer to the read that follows shows when.
void UpstreamManager::handleUnknownRestart(std::uint64_t number)
{
    if (const std::optional<wire::UpstreamT> record = this->context.upstreamRecord(number)) {
        UpstreamTracker &tracker = this->context.trackers.at(number);
        const std::int64_t born = tracker.bornOr(record->born_ms);
        const base::SteadyTime now = base::steadyNow();
        this->beginIncarnation(number, tracker, born, born, now);
        this->readAtOnce(number, tracker, {record->id, record->address}, now);
    }
}

void UpstreamManager::handleRestart(std::uint64_t number, UpstreamTracker &tracker, std::int64_t bornMs, std::int64_t earlierBornMs)
{
    const std::optional<wire::UpstreamT> announced = std::exchange(tracker.earlierBorn, std::nullopt);
    const base::SteadyTime now = base::steadyNow();
    const std::optional<wire::UpstreamT> known = this->context.upstreamRecord(number);
    this->beginIncarnation(number, tracker, bornMs, earlierBornMs, now);
    if (known) {
        this->readAtOnce(number, tracker, {known->id, known->address}, now);
    }
    if (announced && announced->born_ms == bornMs) {
        this->proposeUpstream(number, *announced, [](base::ResultCode) {});
    } else if (known) {
        // The new incarnation may be smaller, of another kind or of another service, so nothing is placed there until it announces itself.
        wire::UpstreamT undescribed;
        undescribed.id = known->id;
        undescribed.address = known->address;
        undescribed.zone = known->zone;
        undescribed.born_ms = bornMs;
        this->proposeUpstream(number, undescribed, [](base::ResultCode) {});
    }
}

void UpstreamManager::handleSilence(std::uint64_t number, UpstreamTracker &tracker, base::SteadyTime now, UpstreamCallStatus status)
{
    // An address where nobody listens shows that an upstream that said that it leaves has ended. Other failures may lie on the way to it or to the relaying VM.
    // Before it says so it may work on: a cut can answer for its address that nobody listens.
    if (tracker.leaving && status == UpstreamCallStatus::Absent) {
        this->removeUpstream(number);
        return;
    }
    if (status == UpstreamCallStatus::Fenced) {
        Logger.warn("event=fenced number={} epoch={}", number, this->context.epochOf(tracker));
    }
    // One answer may be lost on its way while the upstream works on, so the renewal is repeated first.
    if (status == UpstreamCallStatus::Unknown && !std::exchange(tracker.retryingRenewal, true)) {
        tracker.nextRenewal = now;
        return;
    }
    if (tracker.silentCalls++ == 0) {
        Logger.info("event=upstream_silent number={} runs={} answer={}", number, this->context.runs.countOnUpstream(number), static_cast<int>(status));
    }
    tracker.nextRenewal = now + SilentRetryInterval;
}

void UpstreamManager::processLists(std::uint64_t number, UpstreamTracker &tracker, base::SteadyTime sentAt, const RenewResult &result)
{
    std::set<RunKey> listed = this->processRunning(number, result.running);
    for (const RunKey &key : this->processEnds(number, tracker, result.ended)) {
        listed.insert(key);
    }
    if (!result.endsCut) {
        this->endMissingRuns(number, sentAt, listed);
    }
    tracker.readBack = this->isRecorded(number, tracker, base::steadyNow());
}

std::optional<RunKey> UpstreamManager::runKeyOf(const RunName &run) const
{
    const auto parsed = parseTaskName(run.task);
    if (!parsed) {
        Logger.warn("event=task_name_unreadable name={}", run.task);
        return std::nullopt;
    }
    const std::uint64_t job = this->context.store.read([&parsed](const CellState &state) {
        const wire::JobT *found = state.jobNamed(parsed->jobId);
        return found == nullptr ? std::uint64_t{0} : found->number;
    });
    return RunKey{{{job, parsed->occurrence, parsed->step}, parsed->task}, run.attempt};
}

std::set<RunKey> UpstreamManager::processRunning(std::uint64_t number, const std::vector<RunReport> &running)
{
    const base::SteadyTime now = base::steadyNow();
    std::set<RunKey> listed;
    for (const RunReport &report : running) {
        const auto key = this->runKeyOf(report.run);
        if (!key) {
            continue;
        }
        TrackedRun *run = this->context.runs.find(*key);
        if (run == nullptr || run->upstream != number) {
            Logger.warn("event=unexpected_run task={} attempt={} number={} incarnation={}",
                        report.run.task,
                        report.run.attempt,
                        number,
                        this->context.trackers.at(number).incarnation);
            TrackedRun unexpected;
            unexpected.key = *key;
            unexpected.task = report.run.task;
            unexpected.upstream = number;
            unexpected.phase = RunPhase::Stopping;
            if (run == nullptr) {
                this->runs.recordBegun(this->context.runs.add(std::move(unexpected)));
            }
            listed.insert(*key);
            continue;
        }
        listed.insert(*key);
        run->upstreamRestarted = false;
        this->runs.recordBegun(*run);
        if (run->phase == RunPhase::Adopted || run->phase == RunPhase::StartRequested) {
            run->phase = RunPhase::Confirmed;
            run->startedAt = now;
        }
        if (run->percent != report.percent) {
            run->percent = report.percent;
            run->lastProgressAt = now;
        }
        run->lastListedAt = now;
        run->checkpoint = report.checkpoint;
        run->measurement = report.measurement;
        this->context.speedMonitor.recordProgress(*run, now);
    }
    return listed;
}

std::set<RunKey> UpstreamManager::processEnds(std::uint64_t number, UpstreamTracker &tracker, const std::vector<EndReport> &ended)
{
    std::set<RunKey> listed;
    std::uint64_t highest = tracker.lastProposedEnd;
    for (const EndReport &report : ended) {
        const auto key = this->runKeyOf(report.run);
        if (key) {
            listed.insert(*key);
        }
        if (report.number <= tracker.lastProposedEnd) {
            continue;
        }
        highest = std::max(highest, report.number);
        TrackedRun *run = key ? this->context.runs.find(*key) : nullptr;
        const bool isTracked = run != nullptr && run->upstream == number;
        if (isTracked) {
            this->runs.recordBegun(*run);
            this->recordEnd(number, tracker, *run, report.kind);
        }
        // The run may have been given up, and the commit of that is still under way.
        const bool givenUp = run == nullptr || (isTracked && run->endProposed);
        if (isTracked && !givenUp) {
            this->runs.proposeEnd(*run, toEndKind(report.kind), report.checkpoint);
        } else if (key && givenUp && (report.kind == RunEndKind::Done || report.kind == RunEndKind::Failed)) {
            this->runs.proposeLateEnd(*key, number, toEndKind(report.kind), report.checkpoint);
        }
    }
    if (highest > tracker.lastProposedEnd) {
        tracker.recordEnds(base::steadyNow());
        tracker.lastProposedEnd = highest;
        this->context.batch.requireCommit(); // Ends that change nothing are acknowledged too.
        this->context.batch.onOutcome([this, number, incarnation = tracker.incarnation, highest](base::ResultCode code) {
            const auto found = this->context.trackers.find(number);
            if (found == this->context.trackers.end() || found->second.incarnation != incarnation) {
                return;
            }
            if (code == base::ResultCode::Ok) {
                found->second.lastCommittedEnd = std::max(found->second.lastCommittedEnd, highest);
                found->second.nextRenewal = std::min(found->second.nextRenewal, base::steadyNow() + RenewalSpacing);
            } else {
                found->second.lastProposedEnd = found->second.lastCommittedEnd;
            }
        });
    }
    return listed;
}

void UpstreamManager::recordEnd(std::uint64_t number, UpstreamTracker &tracker, const TrackedRun &run, RunEndKind kind)
{
    const base::SteadyTime now = base::steadyNow();
    if (kind == RunEndKind::Done) {
        tracker.failuresInRow = 0;
        if (now >= tracker.excludedUntil) {
            tracker.exclusionTime = {};
        }
        if (run.phase == RunPhase::Confirmed) {
            this->context.slowUpstreamDetector.recordCompletion(
                run.key.task.step, std::chrono::duration_cast<std::chrono::milliseconds>(now - run.startedAt), this->context.speedMonitor.usualSpeedOf(number));
            this->context.speedMonitor.recordCompletion(run, now);
            this->context.recordServiceRate(run, now);
        }
        return;
    }
    if (kind != RunEndKind::Failed) {
        return;
    }
    Logger.info("event=task_failed task={} attempt={} number={} failures_in_row={}", run.task, run.key.attempt, number, tracker.failuresInRow);
    this->runs.recordFailure(run.key.task, number);
    if (tracker.lastFailedJob != run.key.task.step.job) {
        tracker.lastFailedJob = run.key.task.step.job;
        ++tracker.failuresInRow;
    }
    if (tracker.failuresInRow >= FailuresToExclude) {
        tracker.exclude(now, MinFailureExclusion);
        Logger.warn("event=upstream_excluded number={} failures={} for_ms={}", number, tracker.failuresInRow, tracker.exclusionTime.count());
    }
}

void UpstreamManager::excludeSlow(base::SteadyTime now)
{
    const std::vector<health::SlowUpstream> found = this->context.store.read([this, now](const CellState &state) {
        return this->context.slowUpstreamDetector.detect(state, this->context.runs, now, this->context.speedMonitor.speeds());
    });
    for (const health::SlowUpstream &slow : found) {
        const auto tracker = this->context.trackers.find(slow.upstream);
        if (tracker == this->context.trackers.end() || tracker->second.silentCalls > 0) {
            continue;
        }
        if (now >= tracker->second.excludedUntil) {
            Logger.warn("event=upstream_slow number={} moved={}", slow.upstream, slow.runsToMove.size());
        }
        tracker->second.exclude(now, MinSlowExclusion);
        for (const RunKey &key : slow.runsToMove) {
            this->runs.recordFailure(key.task, slow.upstream);
            this->runs.requestStop(*this->context.runs.find(key));
        }
    }
}

void UpstreamManager::endMissingRuns(std::uint64_t number, base::SteadyTime sentAt, const std::set<RunKey> &listed)
{
    for (const RunKey &key : this->context.runs.runsOnUpstream(number)) {
        TrackedRun &run = *this->context.runs.find(key);
        if (listed.count(key) > 0 || run.endProposed) {
            continue;
        }
        const auto clockAtSend = this->context.trackers.at(number).minimumClock(sentAt);
        const bool deadlinePassed =
            run.phase == RunPhase::Stopping && run.latestDeadline.count() > 0 && clockAtSend && *clockAtSend > run.latestDeadline + DeadlineSlack;
        const bool stopConfirmed = run.phase == RunPhase::Stopping && run.stopConfirmedAt != base::SteadyTime() && run.stopConfirmedAt < sentAt;
        const bool stopped = deadlinePassed || stopConfirmed;
        const bool confirmed = run.phase == RunPhase::Confirmed && run.startedAt < sentAt;
        if (stopped || confirmed || run.phase == RunPhase::Adopted || run.upstreamRestarted) {
            Logger.info("event=run_missing task={} attempt={} number={} incarnation={} phase={} starts_sent={} unanswered={}",
                        run.task,
                        run.key.attempt,
                        number,
                        this->context.trackers.at(number).incarnation,
                        static_cast<int>(run.phase),
                        run.startRequests,
                        run.startUnanswered);
            this->runs.proposeEnd(run, stopped ? wire::EndKind::Stopped : wire::EndKind::UpstreamGone, run.checkpoint);
        }
    }
}

} // namespace cranberryreel::cell
