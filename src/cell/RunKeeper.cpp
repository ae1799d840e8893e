#include "cell/RunKeeper.h"

#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

/// Upstreams answer orders within milliseconds; a call that takes longer met a dead connection or a frozen upstream.
constexpr std::chrono::milliseconds OrderLimit{500};
/// A start without an answer is repeated so often before the run is given up and stopped.
constexpr int StartTries = 3;
constexpr std::chrono::milliseconds RepeatAfter{20};
constexpr std::chrono::milliseconds RepeatStopAfter{250};
/// An upstream that refuses work is left alone for so long.
constexpr std::chrono::milliseconds ShunUnhealthy{1000};
constexpr std::chrono::milliseconds ShunFull{300};

const char *nameOf(OrderAnswer answer)
{
    static constexpr const char *Names[] = {
        "done", "fenced", "superseded", "too_late", "no_room", "ticket_refused", "invalid", "unhealthy", "other_life", "not_sent", "unknown", "absent"};
    return Names[static_cast<std::size_t>(answer)];
}

} // namespace

RunKeeper::RunKeeper(TermContext &termContext, AdviceCache &adviceCache)
    : context(termContext)
    , advice(adviceCache)
{
}

void RunKeeper::adopt(base::SteadyTime now)
{
    this->context.store.read([this, now](const CellState &state) {
        forEachRun(state, [this, now](const wire::RunT &run, const wire::StepT &, const wire::JobT &job, const TaskKey &task) {
            RunTrack track;
            track.key = {task, run.attempt};
            track.task = taskName(job.spec->id, task);
            track.upstream = run.upstream;
            track.phase = RunPhase::Adopted;
            track.startedAt = now;
            track.progressAt = now;
            this->context.runs.add(std::move(track));
        });
    });
}

void RunKeeper::placed(const std::vector<PlannedStart> &starts)
{
    const base::SteadyTime now = base::steadyNow();
    std::vector<RunTrack> tracks;
    this->context.store.read([&](const CellState &state) {
        for (const PlannedStart &start : starts) {
            // A cancel or an end in the same batch goes before the placement, which is then void.
            if (const wire::JobT *job = state.job(start.task.step.job); job != nullptr && state.hasRun(toRef(start.task), start.attempt, start.upstream)) {
                RunTrack track;
                track.key = {start.task, start.attempt};
                track.task = taskName(job->spec->id, start.task);
                track.upstream = start.upstream;
                tracks.push_back(std::move(track));
            }
        }
    });
    for (RunTrack &track : tracks) {
        this->sendStart(this->context.runs.add(std::move(track)), now);
    }
}

void RunKeeper::sendStart(RunTrack &track, base::SteadyTime now)
{
    const auto life = this->context.lives.find(track.upstream);
    if (life == this->context.lives.end() || !life->second.readBack || !this->context.leads()) {
        track.nextCall = now + RepeatAfter;
        return;
    }
    const auto deadline = life->second.grant(now);
    if (!deadline) {
        track.nextCall = now + RepeatAfter;
        return;
    }
    RunOrder order;
    UpstreamTarget target;
    const TaskKey task = track.key.task;
    const bool known = this->context.store.read([&](const CellState &state) {
        const wire::JobT *job = state.job(task.step.job);
        const wire::TaskT *taskState = state.task(toRef(task));
        const auto upstream = state.upstreams().find(track.upstream);
        if (job == nullptr || taskState == nullptr || upstream == state.upstreams().end()) {
            return false;
        }
        order.payload = job->spec->payload;
        order.checkpoint = taskState->checkpoint;
        target = {upstream->second.id, upstream->second.address};
        return true;
    });
    if (!known) {
        this->stop(track);
        return;
    }
    order.run = {track.task, track.key.attempt};
    order.deadline = *deadline;
    track.deadline = std::max(track.deadline, *deadline);
    order.epoch = this->context.epoch;
    if (const auto &allowed = this->advice.adviceFor(task.step).allowed; allowed.count(track.upstream) > 0) {
        const StepAdvice::Ticket &ticket = allowed.at(track.upstream);
        if (track.starts == 0 && (ticket.sendUntil <= now || ticket.incarnation != life->second.epoch)) {
            // Nothing was sent: the task is planned anew, with a new ticket.
            Logger.info("event=ticket_out_of_date task={} attempt={} upstream={}", track.task, track.key.attempt, track.upstream);
            this->end(track, wire::EndKind::NeverStarted, {});
            return;
        }
        order.ticket = ticket.text;
    }
    const bool fresh = track.starts > 0;
    ++track.starts;
    track.calling = true;
    this->context.calls.start(
        target, order, OrderLimit, fresh, [this, post = this->context.post, key = track.key, epoch = life->second.epoch](OrderResult result) {
            post([this, key, epoch, result = std::move(result)] { this->startAnswered(key, epoch, result); });
        });
}

void RunKeeper::startAnswered(const RunKey &key, std::uint64_t life, const OrderResult &result)
{
    const base::SteadyTime now = base::steadyNow();
    RunTrack *track = this->context.runs.find(key);
    if (track == nullptr) {
        return;
    }
    track->calling = false;
    const auto found = this->context.lives.find(track->upstream);
    if (found != this->context.lives.end() && found->second.epoch == life && result.clock) {
        found->second.clockRead(*result.clock, now);
    }
    if (result.answer == OrderAnswer::OtherLife) {
        this->upstreamGone(track->upstream);
        return;
    }
    if (track->phase != RunPhase::Ordered) {
        track->unanswered = track->unanswered || result.answer == OrderAnswer::Unknown;
        return;
    }
    if (result.answer == OrderAnswer::Done) {
        track->phase = RunPhase::Confirmed;
        track->startedAt = now;
        track->progressAt = now;
        if (found != this->context.lives.end()) {
            found->second.nextRenewal = std::min(found->second.nextRenewal, now);
        }
        return;
    }
    this->startRefused(*track, result, now);
}

void RunKeeper::startRefused(RunTrack &track, const OrderResult &result, base::SteadyTime now)
{
    const bool repeatable = result.answer == OrderAnswer::Unknown || result.answer == OrderAnswer::NotSent || result.answer == OrderAnswer::Absent;
    track.unanswered = track.unanswered || result.answer == OrderAnswer::Unknown;
    if (repeatable && track.starts < StartTries) {
        track.nextCall = now + RepeatAfter;
        return;
    }
    Logger.info("event=start_refused task={} attempt={} upstream={} answer={} tries={} unanswered={} detail=\"{}\"",
                track.task,
                track.key.attempt,
                track.upstream,
                nameOf(result.answer),
                track.starts,
                track.unanswered,
                result.detail);
    this->noteRefusal(track, result.answer, now);
    // An earlier try may be on its way, or may have been carried out and have ended already: the upstream's lists tell.
    if (track.unanswered || result.answer == OrderAnswer::Superseded) {
        this->stop(track);
    } else {
        this->end(track, wire::EndKind::NeverStarted, {});
    }
}

void RunKeeper::noteRefusal(const RunTrack &track, OrderAnswer answer, base::SteadyTime now)
{
    const auto life = this->context.lives.find(track.upstream);
    if (life == this->context.lives.end()) {
        return;
    }
    if (answer == OrderAnswer::TicketRefused) {
        this->advice.adviceFor(track.key.task.step).allowed[track.upstream].placeUntil = {};
    } else if (answer == OrderAnswer::NoRoom) {
        life->second.shunnedUntil = std::max(life->second.shunnedUntil, now + ShunFull);
    } else if (answer == OrderAnswer::Unhealthy || answer == OrderAnswer::NotSent || answer == OrderAnswer::Unknown || answer == OrderAnswer::Absent) {
        life->second.shun(now, ShunUnhealthy);
    } else if (answer == OrderAnswer::Invalid) {
        this->noteFailure(track.key.task, track.upstream);
    }
}

void RunKeeper::stop(RunTrack &track)
{
    if (track.phase != RunPhase::Stopping) {
        track.phase = RunPhase::Stopping;
        track.stoppedAt = {};
        track.nextCall = base::steadyNow();
    }
}

void RunKeeper::sendStop(RunTrack &track, base::SteadyTime now)
{
    const auto life = this->context.lives.find(track.upstream);
    const std::optional<wire::UpstreamT> record = this->context.recordOf(track.upstream);
    if (life == this->context.lives.end() || !record) {
        this->end(track, wire::EndKind::UpstreamGone, track.checkpoint);
        return;
    }
    const UpstreamTarget target{record->id, record->address};
    track.calling = true;
    track.nextCall = now + RepeatStopAfter;
    this->context.calls.stop(target,
                             {track.task, track.key.attempt},
                             this->context.epoch,
                             OrderLimit,
                             [this, post = this->context.post, key = track.key, epoch = life->second.epoch](OrderResult result) {
                                 post([this, key, epoch, result = std::move(result)] { this->stopAnswered(key, epoch, result); });
                             });
}

void RunKeeper::stopAnswered(const RunKey &key, std::uint64_t life, const OrderResult &result)
{
    const base::SteadyTime now = base::steadyNow();
    RunTrack *track = this->context.runs.find(key);
    if (track == nullptr) {
        return;
    }
    track->calling = false;
    const auto found = this->context.lives.find(track->upstream);
    const bool sameLife = found != this->context.lives.end() && found->second.epoch == life;
    if (result.answer == OrderAnswer::OtherLife) {
        this->upstreamGone(track->upstream);
    } else if (result.answer == OrderAnswer::Done && sameLife) {
        track->stoppedAt = now;
        found->second.nextRenewal = std::min(found->second.nextRenewal, now);
    } else if (result.answer != OrderAnswer::Unknown) {
        Logger.debug("event=stop_unanswered task={} attempt={} answer={}", track->task, track->key.attempt, nameOf(result.answer));
    }
}

void RunKeeper::end(RunTrack &track, wire::EndKind kind, const std::string &checkpoint)
{
    if (track.ending) {
        return;
    }
    track.ending = true;
    auto end = std::make_unique<wire::EndT>();
    end->task = std::make_unique<wire::TaskRefT>(toRef(track.key.task));
    end->attempt = track.key.attempt;
    end->upstream = track.upstream;
    end->kind = kind;
    end->checkpoint = checkpoint;
    this->context.batch.command().ends.push_back(std::move(end));
    this->context.batch.then([this, key = track.key](base::ResultCode code) {
        RunTrack *ended = this->context.runs.find(key);
        if (code == base::ResultCode::Ok) {
            this->context.runs.erase(key);
        } else if (ended != nullptr) {
            ended->ending = false;
        }
    });
    this->context.wake();
}

bool RunKeeper::isNeeded(const CellState &state, const RunKey &key) const
{
    const wire::JobT *job = state.job(key.task.step.job);
    const wire::TaskT *task = state.task(toRef(key.task));
    if (task == nullptr || !isActive(*job)) {
        return false;
    }
    if (!job->spec->steps[key.task.step.step]->gang) {
        return !task->done;
    }
    const auto &members = job->occurrences[key.task.step.occurrence]->steps[key.task.step.step]->tasks;
    return task->done || std::all_of(members.begin(), members.end(), [](const std::unique_ptr<wire::TaskT> &member) { return !member->runs.empty(); });
}

bool RunKeeper::reconcile()
{
    std::set<std::uint64_t> jobs;
    for (const auto &[key, track] : this->context.runs.all()) {
        jobs.insert(jobs.end(), key.task.step.job);
    }
    return this->reconcile(jobs);
}

bool RunKeeper::reconcile(const std::set<std::uint64_t> &jobs)
{
    std::vector<RunKey> toStop;
    this->context.store.read([&](const CellState &state) {
        for (const std::uint64_t job : jobs) {
            const std::vector<RunKey> keys = this->context.runs.of(job);
            std::set<StepKey> stoppingSteps; // A gang that loses a member cannot go on; its others must not wait for it in vain.
            for (const RunKey &key : keys) {
                if (this->context.runs.find(key)->phase == RunPhase::Stopping) {
                    stoppingSteps.insert(key.task.step);
                }
            }
            for (const RunKey &key : keys) {
                const RunTrack &track = *this->context.runs.find(key);
                if (track.phase == RunPhase::Stopping || track.ending) {
                    continue;
                }
                const wire::TaskT *task = state.task(toRef(key.task));
                const bool gangLost =
                    stoppingSteps.count(key.task.step) > 0 && task != nullptr && !task->done && state.job(job)->spec->steps[key.task.step.step]->gang;
                if (gangLost || !this->isNeeded(state, key)) {
                    toStop.push_back(key);
                }
            }
        }
    });
    for (const RunKey &key : toStop) {
        this->stop(*this->context.runs.find(key));
    }
    return !toStop.empty();
}

void RunKeeper::tick(base::SteadyTime now)
{
    std::vector<RunKey> starts;
    std::vector<RunKey> stops;
    for (const auto &[key, track] : this->context.runs.all()) {
        if (track.calling || track.ending || now < track.nextCall) {
            continue;
        }
        if (track.phase == RunPhase::Ordered) {
            starts.push_back(key);
        } else if (track.phase == RunPhase::Stopping && track.stoppedAt == base::SteadyTime()) {
            stops.push_back(key);
        }
    }
    for (const RunKey &key : starts) {
        this->sendStart(*this->context.runs.find(key), now);
    }
    for (const RunKey &key : stops) {
        if (RunTrack *track = this->context.runs.find(key)) {
            this->sendStop(*track, now);
        }
    }
}

void RunKeeper::noteFailure(const TaskKey &task, std::uint64_t upstream)
{
    this->failures[task].insert(upstream);
}

void RunKeeper::forgetClosedJobs()
{
    this->context.store.read([this](const CellState &state) {
        for (auto at = this->failures.begin(); at != this->failures.end();) {
            at = state.openJobs().count(at->first.step.job) > 0 ? std::next(at) : this->failures.erase(at);
        }
    });
}

} // namespace cranberryreel::cell
