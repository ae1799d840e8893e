#include "cell/RunManager.h"

#include "cell/LateEnd.h"
#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

/// Time limit of a stop request and of a repeated start request. Upstreams answer within milliseconds; a longer wait means a dead connection or a frozen
/// upstream.
constexpr std::chrono::milliseconds CallLimit{500};
/// Time limit of the first start request of a run. Repeating a request that was carried out is harmless, and waiting for a lost answer makes short tasks late.
constexpr std::chrono::milliseconds FirstStartLimit{200};
/// Number of start requests sent for a run; after the last one without an answer the run is stopped.
constexpr int MaxStartRequests = 3;
constexpr std::chrono::milliseconds StartRetryInterval{20};
constexpr std::chrono::milliseconds StopRetryInterval{250};
/// Time without new work for an upstream that refuses work or does not answer; it doubles when repeated (UpstreamTracker::exclude()).
constexpr std::chrono::milliseconds MinUnhealthyExclusion{1000};
/// Time without new work for an upstream that refuses a task for lack of free capacity.
constexpr std::chrono::milliseconds FullExclusion{300};

const char *statusName(UpstreamCallStatus status)
{
    static constexpr const char *Names[] = {
        "done", "fenced", "superseded", "too_late", "no_room", "ticket_refused", "invalid", "unhealthy", "other_life", "not_sent", "unknown", "absent"};
    return Names[static_cast<std::size_t>(status)];
}

std::unique_ptr<wire::EndT> makeEnd(const RunKey &key, std::uint64_t upstream, wire::EndKind kind, const std::string &checkpoint)
{
    auto end = std::make_unique<wire::EndT>();
    end->task = std::make_unique<wire::TaskRefT>(toRef(key.task));
    end->attempt = key.attempt;
    end->upstream = upstream;
    end->kind = kind;
    end->checkpoint = checkpoint;
    return end;
}

} // namespace

RunManager::RunManager(TermContext &termContext, AdviceCache &book)
    : context(termContext)
    , adviceCache(book)
{
}

void RunManager::adopt(base::SteadyTime now)
{
    this->context.store.read([this, now](const CellState &state) {
        planning::forEachRun(state, [this, now](const wire::RunT &recorded, const wire::StepT &, const wire::JobT &job, const TaskKey &task) {
            TrackedRun run;
            run.key = {task, recorded.attempt};
            run.task = taskName(job.spec->id, task);
            run.upstream = recorded.upstream;
            run.phase = RunPhase::Adopted;
            run.startedAt = now;
            run.lastProgressAt = now;
            this->context.runs.add(std::move(run));
        });
    });
}

void RunManager::startPlaced(const std::vector<planning::PlannedStart> &starts, const std::map<std::uint64_t, std::uint64_t> &incarnations)
{
    const base::SteadyTime now = base::steadyNow();
    std::vector<TrackedRun> placedRuns;
    this->context.store.read([&](const CellState &state) {
        for (const planning::PlannedStart &start : starts) {
            // A cancel or an end in the same batch is applied before the placement and may have voided it.
            if (const wire::JobT *job = state.job(start.task.step.job); job != nullptr && state.hasRun(toRef(start.task), start.attempt, start.upstream)) {
                TrackedRun run;
                run.key = {start.task, start.attempt};
                run.task = taskName(job->spec->id, start.task);
                run.upstream = start.upstream;
                placedRuns.push_back(std::move(run));
            }
        }
    });
    for (TrackedRun &run : placedRuns) {
        const auto tracker = this->context.trackers.find(run.upstream);
        const bool sameIncarnation = tracker != this->context.trackers.end() && tracker->second.incarnation == incarnations.at(run.upstream);
        TrackedRun &placed = this->context.runs.add(std::move(run));
        if (sameIncarnation) {
            this->sendStart(placed, now);
        } else {
            this->proposeEnd(placed, wire::EndKind::NeverStarted, {});
        }
    }
}

void RunManager::sendStart(TrackedRun &run, base::SteadyTime now)
{
    const auto tracker = this->context.trackers.find(run.upstream);
    if (tracker == this->context.trackers.end() || !tracker->second.readBack || run.upstreamRestarted || !this->context.holdsLease()) {
        run.nextCall = now + StartRetryInterval;
        return;
    }
    const auto deadline = tracker->second.leaseForStart(now);
    if (!deadline) {
        run.nextCall = now + StartRetryInterval;
        return;
    }
    StartRequest request;
    UpstreamTarget target;
    const TaskKey task = run.key.task;
    const bool recorded = this->context.store.read([&](const CellState &state) {
        const wire::JobT *job = state.job(task.step.job);
        const wire::TaskT *taskState = state.task(toRef(task));
        const auto upstream = state.upstreams().find(run.upstream);
        if (job == nullptr || taskState == nullptr || upstream == state.upstreams().end()) {
            return false;
        }
        request.payload = job->spec->payload;
        request.checkpoint = taskState->checkpoint;
        target = {upstream->second.id, upstream->second.address};
        return true;
    });
    if (!recorded) {
        this->requestStop(run);
        return;
    }
    request.run = {run.task, run.key.attempt};
    request.deadline = *deadline;
    run.latestDeadline = std::max(run.latestDeadline, *deadline);
    request.epoch = this->context.epochOf(tracker->second);
    if (const auto &allowed = this->adviceCache.adviceFor(task.step).allowed; allowed.count(run.upstream) > 0) {
        const StepAdvice::Ticket &ticket = allowed.at(run.upstream);
        if (run.startRequests == 0 && (ticket.sendUntil <= now || ticket.incarnation != tracker->second.incarnation)) {
            // No request was sent for this run, so it ends as never started and the task is planned again with a new ticket.
            Logger.info("event=ticket_expired task={} attempt={} upstream={}", run.task, run.key.attempt, run.upstream);
            this->proposeEnd(run, wire::EndKind::NeverStarted, {});
            return;
        }
        request.ticket = ticket.text;
    }
    const bool freshConnection = run.startRequests > 0;
    ++run.startRequests;
    Logger.debug("event=start_sent task={} attempt={} number={} incarnation={} epoch={} deadline_ms={} tries={}",
                 run.task,
                 run.key.attempt,
                 run.upstream,
                 tracker->second.incarnation,
                 request.epoch,
                 request.deadline.count(),
                 run.startRequests);
    run.callPending = true;
    this->context.calls.start(
        target,
        request,
        freshConnection ? CallLimit : FirstStartLimit,
        freshConnection,
        [this, post = this->context.post, key = run.key, incarnation = tracker->second.incarnation, leastClock = tracker->second.minimumClock(now)](
            UpstreamCallResult result) {
            post([this, key, incarnation, leastClock, result = std::move(result)] { this->handleStartResult(key, incarnation, leastClock, result); });
        });
}

void RunManager::handleStartResult(const RunKey &key,
                                   std::uint64_t incarnation,
                                   std::optional<std::chrono::milliseconds> leastClock,
                                   const UpstreamCallResult &result)
{
    const base::SteadyTime now = base::steadyNow();
    TrackedRun *run = this->context.runs.find(key);
    if (run == nullptr) {
        return;
    }
    run->callPending = false;
    const auto found = this->context.trackers.find(run->upstream);
    const bool sameIncarnation = found != this->context.trackers.end() && found->second.incarnation == incarnation;
    if (result.status == UpstreamCallStatus::Done) {
        this->recordBegun(*run);
    }
    if (!sameIncarnation) {
        return;
    }
    if (result.clock) {
        if (leastClock && *result.clock < *leastClock) {
            Logger.warn("event=answer_of_next_incarnation task={} attempt={} number={} answer={} clock_ms={} least_clock_ms={}",
                        run->task,
                        run->key.attempt,
                        run->upstream,
                        statusName(result.status),
                        result.clock->count(),
                        leastClock->count());
            this->onUpstreamRestarted(run->upstream);
            return;
        }
        found->second.recordClock(*result.clock, now);
    }
    if (result.status == UpstreamCallStatus::OtherUpstream) {
        this->onUpstreamReplaced(run->upstream);
        return;
    }
    if (run->phase != RunPhase::StartRequested) {
        run->startUnanswered = run->startUnanswered || result.status == UpstreamCallStatus::Unknown;
        return;
    }
    if (result.status == UpstreamCallStatus::Done) {
        run->phase = RunPhase::Confirmed;
        run->startedAt = now;
        run->lastProgressAt = now;
        found->second.nextRenewal = std::min(found->second.nextRenewal, now);
        return;
    }
    this->handleStartFailure(*run, result, now);
}

void RunManager::handleStartFailure(TrackedRun &run, const UpstreamCallResult &result, base::SteadyTime now)
{
    const bool retriable =
        result.status == UpstreamCallStatus::Unknown || result.status == UpstreamCallStatus::NotSent || result.status == UpstreamCallStatus::Absent;
    run.startUnanswered = run.startUnanswered || result.status == UpstreamCallStatus::Unknown;
    if (retriable && run.startRequests < MaxStartRequests) {
        run.nextCall = now + StartRetryInterval;
        return;
    }
    Logger.info("event=start_failed task={} attempt={} upstream={} answer={} tries={} unanswered={} detail=\"{}\"",
                run.task,
                run.key.attempt,
                run.upstream,
                statusName(result.status),
                run.startRequests,
                run.startUnanswered,
                result.detail);
    this->recordStartFailure(run, result.status, now);
    // An earlier request may still be on its way, or the run may have started and ended. Stopping the run and reading the upstream's lists resolves this.
    if (run.startUnanswered || result.status == UpstreamCallStatus::Superseded) {
        this->requestStop(run);
    } else {
        this->proposeEnd(run, wire::EndKind::NeverStarted, {});
    }
}

void RunManager::recordStartFailure(const TrackedRun &run, UpstreamCallStatus status, base::SteadyTime now)
{
    const auto tracker = this->context.trackers.find(run.upstream);
    if (tracker == this->context.trackers.end()) {
        return;
    }
    if (status == UpstreamCallStatus::TicketRefused) {
        this->adviceCache.adviceFor(run.key.task.step).allowed[run.upstream].placeUntil = {};
    } else if (status == UpstreamCallStatus::InsufficientCapacity) {
        tracker->second.excludedUntil = std::max(tracker->second.excludedUntil, now + FullExclusion);
    } else if (status == UpstreamCallStatus::Unhealthy || status == UpstreamCallStatus::NotSent || status == UpstreamCallStatus::Unknown
               || status == UpstreamCallStatus::Absent) {
        tracker->second.exclude(now, MinUnhealthyExclusion);
    } else if (status == UpstreamCallStatus::Invalid) {
        this->recordFailure(run.key.task, run.upstream);
    }
}

void RunManager::requestStop(TrackedRun &run)
{
    if (run.phase != RunPhase::Stopping) {
        run.phase = RunPhase::Stopping;
        run.stopConfirmedAt = {};
        run.nextCall = base::steadyNow();
    }
}

void RunManager::sendStop(TrackedRun &run, base::SteadyTime now)
{
    const auto tracker = this->context.trackers.find(run.upstream);
    const std::optional<wire::UpstreamT> record = this->context.upstreamRecord(run.upstream);
    if (tracker == this->context.trackers.end() || !record) {
        this->proposeEnd(run, wire::EndKind::UpstreamGone, run.checkpoint);
        return;
    }
    const UpstreamTarget target{record->id, record->address};
    run.callPending = true;
    run.nextCall = now + StopRetryInterval;
    this->context.calls.stop(target,
                             {run.task, run.key.attempt},
                             this->context.epochOf(tracker->second),
                             CallLimit,
                             [this, post = this->context.post, key = run.key, incarnation = tracker->second.incarnation](UpstreamCallResult result) {
                                 post([this, key, incarnation, result = std::move(result)] { this->handleStopResult(key, incarnation, result); });
                             });
}

void RunManager::handleStopResult(const RunKey &key, std::uint64_t incarnation, const UpstreamCallResult &result)
{
    const base::SteadyTime now = base::steadyNow();
    TrackedRun *run = this->context.runs.find(key);
    if (run == nullptr) {
        return;
    }
    run->callPending = false;
    const auto found = this->context.trackers.find(run->upstream);
    const bool sameIncarnation = found != this->context.trackers.end() && found->second.incarnation == incarnation;
    if (sameIncarnation && result.status == UpstreamCallStatus::OtherUpstream) {
        this->onUpstreamReplaced(run->upstream);
    } else if (result.status == UpstreamCallStatus::Done && sameIncarnation) {
        run->stopConfirmedAt = now;
        found->second.nextRenewal = std::min(found->second.nextRenewal, now);
    } else if (result.status != UpstreamCallStatus::Unknown) {
        Logger.debug("event=stop_failed task={} attempt={} answer={}", run->task, run->key.attempt, statusName(result.status));
    }
}

void RunManager::proposeEnd(TrackedRun &run, wire::EndKind kind, const std::string &checkpoint)
{
    if (run.endProposed) {
        return;
    }
    run.endProposed = true;
    this->context.batch.command().ends.push_back(makeEnd(run.key, run.upstream, kind, checkpoint));
    this->context.batch.onOutcome([this, key = run.key](base::ResultCode code) {
        TrackedRun *ended = this->context.runs.find(key);
        if (code == base::ResultCode::Ok) {
            this->context.runs.erase(key);
        } else if (ended != nullptr) {
            ended->endProposed = false;
        }
    });
    this->context.wake();
}

void RunManager::recordBegun(TrackedRun &run)
{
    if (!std::exchange(run.begun, true)) {
        this->context.begunJobs.add(run.key.task.step.job, base::steadyNow());
    }
}

void RunManager::proposeLateEnd(const RunKey &key, std::uint64_t upstream, wire::EndKind kind, const std::string &checkpoint)
{
    std::unique_ptr<wire::EndT> end = makeEnd(key, upstream, kind, checkpoint);
    const bool counts = this->context.store.read([&end](const CellState &state) {
        const wire::JobT *job = state.job(end->task->job);
        return state.task(*end->task) != nullptr && isActive(*job) && isNewLateEnd(*job, *end);
    });
    if (!counts) {
        return;
    }
    if (kind == wire::EndKind::Failed) {
        this->recordFailure(key.task, upstream);
    }
    Logger.info("event=late_end job_number={} step={} task={} attempt={} upstream={} kind={}",
                key.task.step.job,
                key.task.step.step,
                key.task.task,
                key.attempt,
                upstream,
                wire::EnumNameEndKind(kind));
    this->context.batch.command().ends.push_back(std::move(end));
    this->context.wake();
}

bool RunManager::isNeeded(const CellState &state, const RunKey &key) const
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

bool RunManager::reconcile()
{
    std::set<std::uint64_t> jobs;
    for (const auto &[key, run] : this->context.runs.all()) {
        jobs.insert(jobs.end(), key.task.step.job);
    }
    return this->reconcile(jobs);
}

bool RunManager::reconcile(const std::set<std::uint64_t> &jobs)
{
    std::vector<RunKey> toStop;
    std::vector<RunKey> gone;
    this->context.store.read([&](const CellState &state) {
        for (const std::uint64_t job : jobs) {
            const std::vector<RunKey> keys = this->context.runs.runsOfJob(job);
            std::set<StepKey> stoppingSteps; // A gang that loses a member cannot continue, so its other members are stopped too.
            for (const RunKey &key : keys) {
                if (this->context.runs.find(key)->phase == RunPhase::Stopping) {
                    stoppingSteps.insert(key.task.step);
                }
            }
            for (const RunKey &key : keys) {
                const TrackedRun &run = *this->context.runs.find(key);
                if (state.upstreams().count(run.upstream) == 0) {
                    gone.push_back(key);
                }
                if (run.phase == RunPhase::Stopping || run.endProposed) {
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
        this->requestStop(*this->context.runs.find(key));
    }
    for (const RunKey &key : gone) {
        TrackedRun &run = *this->context.runs.find(key);
        this->proposeEnd(run, wire::EndKind::UpstreamGone, run.checkpoint);
    }
    return !toStop.empty();
}

void RunManager::tick(base::SteadyTime now)
{
    std::vector<RunKey> starts;
    std::vector<RunKey> stops;
    for (const auto &[key, run] : this->context.runs.all()) {
        if (run.callPending || run.endProposed || now < run.nextCall) {
            continue;
        }
        if (run.phase == RunPhase::StartRequested) {
            starts.push_back(key);
        } else if (run.phase == RunPhase::Stopping && run.stopConfirmedAt == base::SteadyTime()) {
            stops.push_back(key);
        }
    }
    for (const RunKey &key : starts) {
        this->sendStart(*this->context.runs.find(key), now);
    }
    for (const RunKey &key : stops) {
        if (TrackedRun *run = this->context.runs.find(key)) {
            this->sendStop(*run, now);
        }
    }
}

void RunManager::recordFailure(const TaskKey &task, std::uint64_t upstream)
{
    this->failures[task].insert(upstream);
}

void RunManager::dropClosedJobs()
{
    this->context.store.read([this](const CellState &state) {
        for (auto at = this->failures.begin(); at != this->failures.end();) {
            at = state.openJobs().count(at->first.step.job) > 0 ? std::next(at) : this->failures.erase(at);
        }
    });
}

} // namespace cranberryreel::cell
