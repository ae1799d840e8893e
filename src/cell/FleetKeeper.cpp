#include "cell/FleetKeeper.h"

#include "cell/AnnouncementFilter.h"
#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

/// An upstream holds a renewal back for so long while no task ends; well inside the shortest lease.
constexpr std::chrono::milliseconds RenewWait{1500};
/// Beyond the wait; an answer takes milliseconds.
constexpr std::chrono::milliseconds RenewLimit{600};
/// Ends that follow each other closely share one renewal.
constexpr std::chrono::milliseconds RenewPause{25};
constexpr std::chrono::milliseconds SilentPause{250};
/// An upstream of which nothing was heard for so long is looked at; VMs hand unchanged announcements on every 4 s (AnnouncementFilter).
constexpr std::chrono::seconds DoubtAfter{9};
constexpr std::chrono::seconds IdlePause{1};
/// An upstream that neither answers nor announces itself is forgotten.
constexpr std::chrono::seconds ForgetAfter{12};
/// So many tasks of different jobs failing in a row make an upstream suspect.
constexpr int FailuresToShun = 3;
constexpr std::chrono::milliseconds FirstShun{3000};
constexpr std::chrono::milliseconds SlowShun{2000};
constexpr std::chrono::milliseconds SpeedCheckEvery{200};
/// Beyond the deadline of an order, for rounding.
constexpr std::chrono::milliseconds OrderSlack{100};

wire::EndKind kindOf(RunEnd how)
{
    switch (how) {
    case RunEnd::Done:
        return wire::EndKind::Done;
    case RunEnd::Failed:
        return wire::EndKind::Failed;
    case RunEnd::Stopped:
        return wire::EndKind::Stopped;
    case RunEnd::Lapsed:
        return wire::EndKind::Lapsed;
    case RunEnd::Broken:
        return wire::EndKind::Broken;
    case RunEnd::Alone:
        return wire::EndKind::Alone;
    }
    return wire::EndKind::Failed;
}

} // namespace

FleetKeeper::FleetKeeper(TermContext &termContext, RunKeeper &runKeeper)
    : context(termContext)
    , runs(runKeeper)
{
    this->runs.upstreamGone = [this](std::uint64_t number) { this->gone(number); };
}

UpstreamLife &FleetKeeper::lifeOf(std::uint64_t number, base::SteadyTime now)
{
    return this->context.lives.try_emplace(number, this->context.options.leaseMax, now).first->second;
}

void FleetKeeper::announced(const wire::AnnouncementT &announcement, const CallEnded &done)
{
    const base::SteadyTime now = base::steadyNow();
    const wire::UpstreamT &said = *announcement.upstream;
    std::optional<wire::UpstreamT> known;
    this->context.store.read([&](const CellState &state) {
        if (const wire::UpstreamT *found = state.upstreamNamed(said.id)) {
            known = *found;
        }
    });
    if (!known) {
        Logger.info("event=upstream_new upstream={} address={} zone={} born={}", said.id, said.address, said.zone, said.born_ms);
        this->addUpstream(said, done);
        return;
    }
    UpstreamLife &life = this->lifeOf(known->number, now);
    const bool stale = said.born_ms < known->born_ms || (said.born_ms == known->born_ms && announcement.sequence <= life.sequence);
    if (stale) {
        done(base::ResultCode::Ok);
        return;
    }
    if (said.born_ms > known->born_ms) {
        Logger.info("event=upstream_reborn upstream={} number={} born={} earlier={}", said.id, known->number, said.born_ms, known->born_ms);
        life.reborn(now);
    }
    life.sequence = announcement.sequence;
    life.announcedAt = now;
    life.clockRead(std::chrono::milliseconds(announcement.clock_ms), now);
    if (saysTheSame(said, *known)) {
        done(base::ResultCode::Ok);
        return;
    }
    if (said.draining != known->draining) {
        Logger.info("event=upstream_draining upstream={} number={} draining={}", said.id, known->number, said.draining);
    }
    this->addUpstream(said, done);
}

void FleetKeeper::addUpstream(const wire::UpstreamT &upstream, const CallEnded &done)
{
    this->context.batch.command().upstreams.push_back(std::make_unique<wire::UpstreamT>(upstream));
    this->context.batch.then(done);
    this->context.wake();
}

void FleetKeeper::left(const std::string &id, const CallEnded &done)
{
    const base::SteadyTime now = base::steadyNow();
    const std::uint64_t number = this->context.store.read([&id](const CellState &state) {
        const wire::UpstreamT *found = state.upstreamNamed(id);
        return found == nullptr ? std::uint64_t{0} : found->number;
    });
    if (number != 0) {
        Logger.info("event=upstream_leaves upstream={} number={}", id, number);
        UpstreamLife &life = this->lifeOf(number, now);
        // The word may be that of an earlier life, delayed; what answers at the address decides.
        life.leaving = true;
        life.nextRenewal = now;
    }
    done(base::ResultCode::Ok);
    this->context.wake();
}

void FleetKeeper::gone(std::uint64_t number)
{
    this->giveUpRuns(number);
    std::optional<wire::UpstreamT> change = this->context.recordOf(number);
    this->context.lives.erase(number);
    if (change) {
        Logger.info("event=upstream_gone upstream={} number={}", change->id, number);
        change->gone = true;
        this->addUpstream(*change, [](base::ResultCode) {});
    }
}

void FleetKeeper::giveUpRuns(std::uint64_t number)
{
    for (const RunKey &key : this->context.runs.at(number)) {
        RunTrack &track = *this->context.runs.find(key);
        this->runs.end(track, wire::EndKind::UpstreamGone, track.checkpoint);
    }
}

bool FleetKeeper::wantsRenewal(std::uint64_t number, const UpstreamLife &life, base::SteadyTime now) const
{
    const bool doubtful = now - life.announcedAt > DoubtAfter;
    return doubtful || !life.readBack || life.leaving || this->context.runs.countAt(number) > 0 || life.acknowledged > life.acknowledgementSent;
}

void FleetKeeper::tick(base::SteadyTime now)
{
    if (now >= this->nextSpeedCheck) {
        this->nextSpeedCheck = now + SpeedCheckEvery;
        this->shunSlow(now);
    }
    std::vector<std::pair<std::uint64_t, UpstreamTarget>> known;
    this->context.store.read([&known](const CellState &state) {
        for (const auto &[number, upstream] : state.upstreams()) {
            known.emplace_back(number, UpstreamTarget{upstream.id, upstream.address});
        }
    });
    for (const auto &[number, target] : known) {
        UpstreamLife &life = this->lifeOf(number, now);
        if (life.silentCalls > 0 && life.leasesOver(now)) {
            if (!std::exchange(life.lostHandled, true)) {
                Logger.warn("event=upstream_lost upstream={} number={} silent_calls={} runs={}",
                            target.id,
                            number,
                            life.silentCalls,
                            this->context.runs.countAt(number));
                life.readBack = false;
                this->giveUpRuns(number);
            }
            if (now - life.announcedAt > ForgetAfter && this->context.runs.countAt(number) == 0) {
                this->gone(number);
                continue;
            }
        }
        if (!life.renewing && now >= life.nextRenewal && this->wantsRenewal(number, life, now) && this->context.leads()) {
            this->renew(number, life, target, now);
        }
    }
}

void FleetKeeper::renew(std::uint64_t number, UpstreamLife &life, const UpstreamTarget &target, base::SteadyTime now)
{
    RenewOrder order;
    order.epoch = this->context.epoch;
    order.acknowledged = life.acknowledged;
    if (life.readBack && life.silentCalls == 0 && !life.leaving) {
        order.deadline = life.grant(now);
        order.wait = this->context.runs.countAt(number) > 0 ? RenewWait : std::chrono::milliseconds(0);
    }
    life.renewing = true;
    life.renewSentAt = now;
    this->context.calls.renew(
        target,
        order,
        order.wait + RenewLimit,
        [this, post = this->context.post, number = number, epoch = life.epoch, acknowledged = order.acknowledged, now](RenewResult result) {
            post([this, number, epoch, acknowledged, now, result = std::move(result)] { this->renewed(number, epoch, acknowledged, now, result); });
        });
}

void FleetKeeper::renewed(std::uint64_t number, std::uint64_t lifeEpoch, std::uint64_t acknowledged, base::SteadyTime sentAt, const RenewResult &result)
{
    const base::SteadyTime now = base::steadyNow();
    const auto found = this->context.lives.find(number);
    if (found == this->context.lives.end() || found->second.epoch != lifeEpoch) {
        return;
    }
    UpstreamLife &life = found->second;
    life.renewing = false;
    if (result.result.answer == OrderAnswer::OtherLife) {
        this->gone(number);
        return;
    }
    if (result.result.answer != OrderAnswer::Done) {
        this->silent(number, life, now, result.result.answer);
        return;
    }
    const std::int64_t born = this->context.store.read([number](const CellState &state) {
        const auto upstream = state.upstreams().find(number);
        return upstream == state.upstreams().end() ? std::int64_t{0} : upstream->second.born_ms;
    });
    if (result.bornMs > born) {
        this->rebornAs(number, result.bornMs);
        return;
    }
    if (life.silentCalls > 0) {
        Logger.info("event=upstream_answers number={} after_silent_calls={}", number, life.silentCalls);
    }
    life.silentCalls = 0;
    life.lostHandled = false;
    life.acknowledgementSent = std::max(life.acknowledgementSent, acknowledged);
    life.nextRenewal = now + RenewPause;
    if (result.result.clock) {
        life.clockRead(*result.result.clock, now);
    }
    this->digest(number, life, sentAt, result);
    if (this->context.runs.countAt(number) == 0 && life.proposed == life.acknowledged) {
        life.nextRenewal = now + IdlePause;
    }
    this->context.wake();
}

void FleetKeeper::rebornAs(std::uint64_t number, std::int64_t bornMs)
{
    Logger.info("event=upstream_reborn number={} born={}", number, bornMs);
    this->lifeOf(number, base::steadyNow()).reborn(base::steadyNow());
    std::optional<wire::UpstreamT> change = this->context.recordOf(number);
    if (change) {
        change->born_ms = bornMs;
        this->addUpstream(*change, [](base::ResultCode) {});
    }
}

void FleetKeeper::silent(std::uint64_t number, UpstreamLife &life, base::SteadyTime now, OrderAnswer answer)
{
    // A call that merely got no connection, or was lost on the way to the VM that relays it, says nothing of the upstream.
    if (life.leaving && answer == OrderAnswer::Absent) {
        this->gone(number);
        return;
    }
    if (answer == OrderAnswer::Fenced) {
        Logger.warn("event=fenced number={} epoch={}", number, this->context.epoch);
    }
    if (life.silentCalls++ == 0) {
        Logger.info("event=upstream_silent number={} runs={} answer={}", number, this->context.runs.countAt(number), static_cast<int>(answer));
    }
    life.nextRenewal = now + SilentPause;
}

void FleetKeeper::digest(std::uint64_t number, UpstreamLife &life, base::SteadyTime sentAt, const RenewResult &result)
{
    std::set<RunKey> listed = this->digestRunning(number, result.running);
    for (const RunKey &key : this->digestEnds(number, life, result.ended)) {
        listed.insert(key);
    }
    if (!result.endsCut) {
        this->concludeMissing(number, sentAt, listed);
    }
    life.readBack = true;
}

std::optional<RunKey> FleetKeeper::keyOf(const RunName &run) const
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

std::set<RunKey> FleetKeeper::digestRunning(std::uint64_t number, const std::vector<RunReport> &running)
{
    const base::SteadyTime now = base::steadyNow();
    std::set<RunKey> listed;
    for (const RunReport &report : running) {
        const auto key = this->keyOf(report.run);
        if (!key) {
            continue;
        }
        RunTrack *track = this->context.runs.find(*key);
        if (track == nullptr || track->upstream != number) {
            Logger.warn("event=stray_run task={} attempt={} number={}", report.run.task, report.run.attempt, number);
            RunTrack stray;
            stray.key = *key;
            stray.task = report.run.task;
            stray.upstream = number;
            stray.phase = RunPhase::Stopping;
            if (track == nullptr) {
                this->context.runs.add(std::move(stray));
            }
            listed.insert(*key);
            continue;
        }
        listed.insert(*key);
        if (track->phase == RunPhase::Adopted || track->phase == RunPhase::Ordered) {
            track->phase = RunPhase::Confirmed;
            track->startedAt = now;
        }
        if (track->percent != report.percent) {
            track->percent = report.percent;
            track->progressAt = now;
        }
        track->seenAt = now;
        track->checkpoint = report.checkpoint;
        track->figure = report.figure;
    }
    return listed;
}

std::set<RunKey> FleetKeeper::digestEnds(std::uint64_t number, UpstreamLife &life, const std::vector<EndReport> &ended)
{
    std::set<RunKey> listed;
    std::uint64_t highest = life.proposed;
    for (const EndReport &report : ended) {
        const auto key = this->keyOf(report.run);
        if (key) {
            listed.insert(*key);
        }
        if (report.number <= life.proposed) {
            continue;
        }
        highest = std::max(highest, report.number);
        RunTrack *track = key ? this->context.runs.find(*key) : nullptr;
        if (track != nullptr && track->upstream == number) {
            this->noteEnd(number, life, *track, report.how);
            this->runs.end(*track, kindOf(report.how), report.checkpoint);
        }
    }
    if (highest > life.proposed) {
        life.proposed = highest;
        this->context.batch.then([this, number, epoch = life.epoch, highest](base::ResultCode code) {
            const auto found = this->context.lives.find(number);
            if (found == this->context.lives.end() || found->second.epoch != epoch) {
                return;
            }
            if (code == base::ResultCode::Ok) {
                found->second.acknowledged = std::max(found->second.acknowledged, highest);
                found->second.nextRenewal = std::min(found->second.nextRenewal, base::steadyNow() + RenewPause);
            } else {
                found->second.proposed = found->second.acknowledged;
            }
        });
    }
    return listed;
}

void FleetKeeper::noteEnd(std::uint64_t number, UpstreamLife &life, const RunTrack &track, RunEnd how)
{
    const base::SteadyTime now = base::steadyNow();
    if (how == RunEnd::Done) {
        life.failuresInRow = 0;
        if (now >= life.shunnedUntil) {
            life.shunFor = {};
        }
        if (track.phase == RunPhase::Confirmed) {
            this->context.slow.recordCompletion(track.key.task.step, std::chrono::duration_cast<std::chrono::milliseconds>(now - track.startedAt));
        }
        return;
    }
    if (how != RunEnd::Failed) {
        return;
    }
    Logger.info("event=task_failed task={} attempt={} number={} failures_in_row={}", track.task, track.key.attempt, number, life.failuresInRow);
    this->runs.noteFailure(track.key.task, number);
    if (life.lastFailedJob != track.key.task.step.job) {
        life.lastFailedJob = track.key.task.step.job;
        ++life.failuresInRow;
    }
    if (life.failuresInRow >= FailuresToShun) {
        life.shun(now, FirstShun);
        Logger.warn("event=upstream_shunned number={} failures={} for_ms={}", number, life.failuresInRow, life.shunFor.count());
    }
}

void FleetKeeper::shunSlow(base::SteadyTime now)
{
    const std::vector<SlowUpstream> found =
        this->context.store.read([this, now](const CellState &state) { return this->context.slow.detect(state, this->context.runs, now); });
    for (const SlowUpstream &slow : found) {
        const auto life = this->context.lives.find(slow.upstream);
        if (life == this->context.lives.end() || life->second.silentCalls > 0) {
            continue;
        }
        if (now >= life->second.shunnedUntil) {
            Logger.warn("event=upstream_slow number={} moved={}", slow.upstream, slow.runsToMove.size());
        }
        life->second.shun(now, SlowShun);
        for (const RunKey &key : slow.runsToMove) {
            this->runs.noteFailure(key.task, slow.upstream);
            this->runs.stop(*this->context.runs.find(key));
        }
    }
}

void FleetKeeper::concludeMissing(std::uint64_t number, base::SteadyTime sentAt, const std::set<RunKey> &listed)
{
    for (const RunKey &key : this->context.runs.at(number)) {
        RunTrack &track = *this->context.runs.find(key);
        if (listed.count(key) > 0 || track.ending) {
            continue;
        }
        const auto clockThen = this->context.lives.at(number).clockAtLeast(sentAt);
        const bool outOfTime = track.phase == RunPhase::Stopping && track.deadline.count() > 0 && clockThen && *clockThen > track.deadline + OrderSlack;
        const bool acknowledged = track.phase == RunPhase::Stopping && track.stoppedAt != base::SteadyTime() && track.stoppedAt < sentAt;
        const bool stopped = outOfTime || acknowledged;
        const bool confirmed = track.phase == RunPhase::Confirmed && track.startedAt < sentAt;
        if (stopped || confirmed || track.phase == RunPhase::Adopted) {
            Logger.info("event=run_missing task={} attempt={} number={} phase={}", track.task, track.key.attempt, number, static_cast<int>(track.phase));
            this->runs.end(track, stopped ? wire::EndKind::Stopped : wire::EndKind::UpstreamGone, track.checkpoint);
        }
    }
}

} // namespace cranberryreel::cell
