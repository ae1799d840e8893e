#include "cell/CellTerm.h"

#include "cell/Codec.h"
#include "cell/planning/AdviceQueryOrder.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

using planning::AdviceQuery;
using planning::Plan;
using planning::PlannedStart;
using planning::QueryTiming;
using planning::RunView;
using planning::ServiceLoad;
using planning::WaitingStep;
using planning::WaitReason;

const observe::Log Logger("cell");

constexpr std::chrono::seconds CleanUpInterval{5};
/// Time limit of an advice query beyond the time that the service is expected to take: for its queue and the network.
constexpr std::chrono::milliseconds AdviceAllowance{600};
/// Plans use a ticket until this long before it expires: for the network, the commit and the start request.
constexpr std::chrono::milliseconds PlanTicketMargin{300};
/// Start requests carry a ticket until this long before it expires; a request reaches the upstream within milliseconds.
constexpr std::chrono::milliseconds SendTicketMargin{100};
constexpr std::chrono::milliseconds QueryRetryInterval{150};
/// A queue that has had no advice query sent for this long is served before those that had.
constexpr std::chrono::milliseconds MaxQueryWait{1000};
constexpr std::chrono::seconds LoadLogInterval{1};
/// Waiting steps that are logged one by one each time, those of the oldest jobs.
constexpr std::size_t MaxWaitingStepsLogged = 4;
/// Interval of the check of all runs. The runs of a batch's jobs are checked when the batch is committed; this check covers the others.
constexpr std::chrono::milliseconds ReconcileInterval{250};
/// Pause after a plan without a decision, unless a job or an end arrives. Hundreds of renewals a second wake the planner and rarely change its result.
constexpr std::chrono::milliseconds IdlePlanInterval{20};

} // namespace

std::int64_t unixTimeMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

CellTerm::CellTerm(const CellOptions &cellOptions,
                   std::uint64_t term,
                   CellStore &store,
                   UpstreamCalls &calls,
                   AdviceDispatcher &advice,
                   replication::Group &cellGroup,
                   std::function<void(std::function<void()>)> post)
    : context{cellOptions, term, store, calls, advice, {}, {}, {}, {}, {}, std::move(post), {}, {}}
    , group(cellGroup)
    , runs(context, adviceCache)
    , upstreams(context, runs)
    , peerCalls(context, upstreams, jobLog)
{
    this->context.holdsLease = [this] { return this->group.holdsLease(base::steadyNow()); };
    this->context.wake = [this] {
        if (!std::exchange(this->planQueued, true)) {
            this->context.post([this] {
                this->planQueued = false;
                this->planAndPropose();
            });
        }
    };
    const base::SteadyTime now = base::steadyNow();
    this->runs.adopt(now);
    this->context.store.read([this, now](const CellState &state) { this->jobLog.adopt(state, unixTimeMs(), now); });
    this->tick();
}

CellTerm::~CellTerm()
{
    for (const CommitCallback &done : std::exchange(this->proposedCallbacks, {})) {
        done(base::ResultCode::GroupUnavailable);
    }
    for (const CommitCallback &done : this->context.batch.take().second) {
        done(base::ResultCode::NotLeader);
    }
}

void CellTerm::call(wire::CallT call, const ReplyCallback &reply)
{
    this->peerCalls.handle(std::move(call), reply);
}

void CellTerm::tick()
{
    const base::SteadyTime now = base::steadyNow();
    this->upstreams.tick(now);
    if (now >= this->nextReconcile) {
        this->nextReconcile = now + ReconcileInterval;
        this->runs.reconcile();
    }
    this->runs.tick(now);
    this->addDueOccurrences();
    if (now >= this->nextCleanUp) {
        this->nextCleanUp = now + CleanUpInterval;
        this->addJobsToForget();
        this->runs.dropClosedJobs();
        this->context.store.read([this](const CellState &state) {
            this->adviceCache.eraseClosedJobs([&state](std::uint64_t job) { return state.openJobs().count(job) > 0; });
            this->context.slowUpstreamDetector.eraseClosedJobs(state);
            this->context.speedMonitor.eraseClosedJobs(state);
        });
    }
    this->planAndPropose();
}

void CellTerm::planAndPropose()
{
    if (this->proposing || !this->context.holdsLease()) {
        return;
    }
    if (const base::SteadyTime now = base::steadyNow(); now >= this->nextPlan) {
        this->planStarts(now);
    }
    this->addBegunJobs();
    if (!this->context.batch.empty()) {
        this->proposeBatch();
    }
}

void CellTerm::planStarts(base::SteadyTime now)
{
    const Plan plan = this->context.store.read([this, now](const CellState &state) {
        const auto viewRun = [this, now](const RunKey &key) { return this->runView(key, now); };
        planning::PlanInput input{state, this->context.trackers, this->adviceCache, this->runs.failedUpstreams(), this->jobLog.acceptanceTimes(), now, viewRun};
        input.speeds = this->context.speedMonitor.speeds();
        input.urgentDemand = &this->urgentDemand;
        input.holdTerms = &this->holdTerms;
        input.farRackFactor = this->context.options.farRackFactor;
        return planning::Planner(input).makePlan();
    });
    if (now >= this->nextLoadLog) {
        this->nextLoadLog = now + LoadLogInterval;
        this->logLoad(plan.loads);
        this->logWaiting(plan.waiting, now);
        this->context.store.read([&](const CellState &state) { this->teamReport.record(plan, state); });
    }
    this->preempt(plan.preemptions);
    const bool asked = this->sendAdviceQueries(plan.adviceQueries);
    this->nextPlan = plan.starts.empty() && !asked ? now + IdlePlanInterval : base::SteadyTime();
    if (plan.starts.empty()) {
        return;
    }
    this->recordAdviceUse(plan.starts);
    for (const PlannedStart &start : plan.starts) {
        auto placement = std::make_unique<wire::PlacementT>();
        placement->task = std::make_unique<wire::TaskRefT>(toRef(start.task));
        placement->attempt = start.attempt;
        placement->upstream = start.upstream;
        this->context.batch.command().placements.push_back(std::move(placement));
    }
    std::map<std::uint64_t, std::uint64_t> incarnations;
    for (const PlannedStart &start : plan.starts) {
        incarnations[start.upstream] = this->context.trackers.at(start.upstream).incarnation;
    }
    this->context.batch.onOutcome([this, starts = plan.starts, incarnations = std::move(incarnations)](base::ResultCode code) {
        if (code == base::ResultCode::Ok) {
            this->runs.startPlaced(starts, incarnations);
        }
    });
}

void CellTerm::logLoad(const std::vector<ServiceLoad> &loads)
{
    for (const ServiceLoad &load : loads) {
        Logger.info("event=load service={} usable_cpu_millis={} free_cpu_millis={} usable_accelerators={} free_accelerators={} runs={} urgent_waiting={} "
                    "other_waiting={}",
                    load.service,
                    load.usable.cpuMillis,
                    load.free.cpuMillis,
                    load.usable.accelerators,
                    load.free.accelerators,
                    load.runs,
                    load.urgentWaiting,
                    load.otherWaiting);
    }
}

/// Logs how much waits for what, and the steps of the oldest jobs one by one.
void CellTerm::logWaiting(const std::vector<WaitingStep> &waiting, base::SteadyTime now)
{
    struct Count {
        std::size_t steps = 0;
        std::size_t tasks = 0;
    };
    std::map<std::pair<std::string, WaitReason>, Count> counts;
    std::vector<std::size_t> places(waiting.size());
    std::iota(places.begin(), places.end(), 0);
    const std::size_t logged = std::min(places.size(), MaxWaitingStepsLogged);
    std::partial_sort(places.begin(), places.begin() + static_cast<std::ptrdiff_t>(logged), places.end(), [&waiting](std::size_t left, std::size_t right) {
        return waiting[left].step < waiting[right].step;
    });
    places.resize(logged);
    this->context.store.read([&](const CellState &state) {
        for (const WaitingStep &each : waiting) {
            Count &count = counts[{state.job(each.step.job)->spec->queue, each.reason}];
            ++count.steps;
            count.tasks += each.tasks;
        }
        for (const std::size_t place : places) {
            const WaitingStep &each = waiting[place];
            const wire::JobSpecT &spec = *state.job(each.step.job)->spec;
            const auto &allowed = this->adviceCache.adviceFor(each.step).allowed;
            const auto tickets = std::count_if(allowed.begin(), allowed.end(), [now](const auto &ticket) { return ticket.second.placeUntil > now; });
            Logger.info("event=step_waiting job={} job_number={} step={} queue={} reason={} tasks={} place={} allowed={} tickets={}",
                        spec.id,
                        each.step.job,
                        each.step.step,
                        spec.queue,
                        planning::waitReasonName(each.reason),
                        each.tasks,
                        place,
                        allowed.size(),
                        tickets);
        }
    });
    for (const auto &[key, count] : counts) {
        Logger.info("event=waiting queue={} reason={} steps={} tasks={}", key.first, planning::waitReasonName(key.second), count.steps, count.tasks);
    }
}

RunView CellTerm::runView(const RunKey &key, base::SteadyTime now)
{
    RunView view;
    if (const TrackedRun *run = this->context.runs.find(key)) {
        view.stopping = run->phase == RunPhase::Stopping || run->endProposed;
        view.confirmed = run->phase == RunPhase::Confirmed && !run->endProposed;
        view.percent = std::max(run->percent, 0);
        view.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - run->startedAt);
    }
    return view;
}

void CellTerm::preempt(const std::vector<RunKey> &stops)
{
    static observe::Counter &preemptions = observe::counter("cranberryreel_cell_preemptions_total", "Runs stopped for work of a higher priority.");
    for (const RunKey &key : stops) {
        if (TrackedRun *run = this->context.runs.find(key)) {
            Logger.info("event=preempted task={} attempt={} number={} percent={}", run->task, key.attempt, run->upstream, run->percent);
            preemptions.add();
            this->runs.requestStop(*run);
        }
    }
    if (!stops.empty()) {
        this->runs.tick(base::steadyNow());
    }
}

/// Once a query finds no VM free for it, the later ones of its speed are skipped. Returns whether any query was sent.
bool CellTerm::sendAdviceQueries(std::vector<AdviceQuery> queries)
{
    const base::SteadyTime now = base::steadyNow();
    planning::interleaveByQueue(queries, this->pendingQueries, this->overdueQueues(queries, now));
    bool asked = false;
    bool quickAccepted = true;
    bool slowAccepted = true;
    for (const AdviceQuery &query : queries) {
        bool &accepted = query.quick ? quickAccepted : slowAccepted;
        accepted = accepted && this->sendAdviceQuery(query);
        if (accepted) {
            this->refusedQueues.recordGranted(query.queue);
        } else if (query.timing == QueryTiming::Immediate) {
            this->refusedQueues.recordRefused(query.queue, now);
        }
        asked = asked || accepted;
    }
    return asked;
}

/// The queues of these queries that have had none sent for too long, with the time that they have waited.
std::map<std::string, std::chrono::milliseconds> CellTerm::overdueQueues(const std::vector<AdviceQuery> &queries, base::SteadyTime now) const
{
    std::map<std::string, std::chrono::milliseconds> overdue;
    for (const AdviceQuery &query : queries) {
        if (const auto refusedFor = this->refusedQueues.refusedFor(query.queue, now); refusedFor >= MaxQueryWait) {
            overdue[query.queue] = refusedFor;
        }
    }
    return overdue;
}

/// Counts the time that the advice service spent on the steps of these starts as used.
void CellTerm::recordAdviceUse(const std::vector<PlannedStart> &starts)
{
    static observe::Counter &usedTime =
        observe::counter("cranberryreel_cell_advice_used_milliseconds_total", "Time of the advice service that led to a start.");
    for (const PlannedStart &start : starts) {
        StepAdvice &advice = this->adviceCache.adviceFor(start.task.step);
        usedTime.add(static_cast<std::uint64_t>(std::exchange(advice.unusedServiceTime, std::chrono::milliseconds(0)).count()));
    }
}

bool CellTerm::sendAdviceQuery(const AdviceQuery &query)
{
    std::string step;
    std::vector<std::string> ids;
    std::map<std::string, AskedUpstream> asked;
    this->context.store.read([&](const CellState &state) {
        if (const wire::JobT *job = state.job(query.step.job)) {
            step = stepName(job->spec->id, query.step);
        }
        for (const std::uint64_t number : query.upstreams) {
            if (const auto found = state.upstreams().find(number); found != state.upstreams().end()) {
                ids.push_back(found->second.id);
                const auto tracker = this->context.trackers.find(number);
                asked[found->second.id] = {number, tracker == this->context.trackers.end() ? 0 : tracker->second.incarnation};
            }
        }
    });
    const auto slowClass = query.timing == QueryTiming::Immediate ? AdviceQueryClass::Slow : AdviceQueryClass::Prefetch;
    const auto queryClass = query.quick ? AdviceQueryClass::Quick : slowClass;
    const bool accepted =
        this->context.adviceDispatcher.tryQuery(queryClass,
                                                step,
                                                ids,
                                                query.expectedDuration + AdviceAllowance,
                                                [this, post = this->context.post, query, asked = std::move(asked)](AdviceResult result) {
                                                    post([this, query, asked, result = std::move(result)] { this->handleAdvice(query, asked, result); });
                                                });
    if (accepted) {
        static observe::Counter &askedTime =
            observe::counter("cranberryreel_cell_advice_asked_milliseconds_total", "Expected time of the queries to the advice service.");
        askedTime.add(static_cast<std::uint64_t>(query.expectedDuration.count()));
        StepAdvice &advice = this->adviceCache.adviceFor(query.step);
        advice.queryPending = true;
        ++this->pendingQueries[query.queue];
        advice.pendingUpstreams = query.upstreams;
        advice.pendingTasks = query.timing == QueryTiming::Immediate ? query.tasks : 0;
        advice.unusedServiceTime += query.expectedDuration;
    }
    return accepted;
}

void CellTerm::handleAdvice(const AdviceQuery &query, const std::map<std::string, AskedUpstream> &asked, const AdviceResult &result)
{
    const base::SteadyTime now = base::steadyNow();
    StepAdvice &advice = this->adviceCache.adviceFor(query.step);
    advice.queryPending = false;
    advice.pendingUpstreams.clear();
    --this->pendingQueries[query.queue];
    if (!result.answered) {
        advice.nextQueryAt = now + QueryRetryInterval;
        Logger.info("event=advice_unavailable job_number={} step={} asked={} busy={} detail=\"{}\"",
                    query.step.job,
                    query.step.step,
                    asked.size(),
                    result.busy,
                    result.detail);
        return;
    }
    Logger.info("event=advice_received job_number={} step={} queue={} asked={} allowed={} expected_ms={}",
                query.step.job,
                query.step.step,
                query.queue,
                asked.size(),
                result.tickets.size(),
                query.expectedDuration.count());
    for (const auto &[id, upstream] : asked) {
        advice.queried.insert(upstream.number);
    }
    this->adviceCache.allowRates.recordAnswer(query.queue, asked.size(), result.tickets.size());
    for (const auto &[id, ticket] : result.tickets) {
        const auto upstream = asked.find(id);
        if (upstream != asked.end() && this->context.trackers.count(upstream->second.number) > 0) {
            const auto &[number, incarnation] = upstream->second;
            advice.allowed[number] = {ticket, now + query.ticketLifetime - PlanTicketMargin, incarnation, now + query.ticketLifetime - SendTicketMargin};
        }
    }
    this->nextPlan = {};
    this->context.wake();
}

void CellTerm::proposeBatch()
{
    auto [taken, callbacks] = this->context.batch.take();
    const std::shared_ptr<wire::CommandT> command = std::move(taken);
    command->now_ms = unixTimeMs();
    command->counts_runs = true;
    this->proposing = true;
    this->proposedCallbacks = std::move(callbacks);
    static observe::DurationHistogram &commits = observe::durations("cranberryreel_cell_commit_seconds", "From the proposal of a batch to its commit.");
    const base::SteadyTime since = base::steadyNow();
    this->group.propose(pack<wire::Command>(*command),
                        replication::Durability::Majority,
                        [this, post = this->context.post, since, command](const replication::ProposeResult &result) {
                            post([this, since, command, code = result.code] {
                                commits.record(base::steadyNow() - since);
                                if (code == base::ResultCode::Ok) {
                                    this->recordJobProgress(*command);
                                }
                                this->handleProposeResult(*command, code);
                            });
                        });
}

void CellTerm::recordJobProgress(const wire::CommandT &command)
{
    const base::SteadyTime now = base::steadyNow();
    this->context.store.read([&](const CellState &state) {
        for (const auto &spec : command.jobs) {
            if (const wire::JobT *job = state.jobNamed(spec->id)) {
                this->jobLog.recordAccepted(job->number, now);
            }
        }
        for (const auto &placement : command.placements) {
            this->jobLog.recordStarted(placement->task->job, now);
        }
        if (!command.ends.empty() || !command.cancels.empty() || !command.team_cancels.empty()) {
            this->jobLog.logEnded(state, now);
        }
        this->gangLog.record(command, state);
    });
}

void CellTerm::handleProposeResult(const wire::CommandT &command, base::ResultCode code)
{
    this->proposing = false;
    for (const CommitCallback &done : std::exchange(this->proposedCallbacks, {})) {
        done(code);
    }
    if (!command.jobs.empty() || !command.ends.empty() || !command.due.empty()) {
        this->nextPlan = {};
    }
    std::set<std::uint64_t> changed;
    for (const auto &end : command.ends) {
        changed.insert(end->task->job);
    }
    if (const std::vector<std::string> cancelled = cancelledJobs(command); !cancelled.empty()) {
        this->context.store.read([&](const CellState &state) {
            for (const std::string &id : cancelled) {
                if (const wire::JobT *job = state.jobNamed(id)) {
                    changed.insert(job->number);
                }
            }
        });
    }
    if (this->runs.reconcile(changed)) {
        this->runs.tick(base::steadyNow());
    }
    this->planAndPropose();
}

void CellTerm::addBegunJobs()
{
    if (this->context.batch.empty() && !this->context.begunJobs.isDue(base::steadyNow())) {
        return;
    }
    std::vector<std::uint64_t> begun;
    this->context.store.read([&](const CellState &state) {
        for (const std::uint64_t number : this->context.begunJobs.take()) {
            if (const wire::JobT *job = state.job(number); job != nullptr && !job->started) {
                begun.push_back(number);
            }
        }
    });
    if (begun.empty()) {
        return;
    }
    this->context.batch.command().begun = begun;
    this->context.batch.onOutcome([this, begun](base::ResultCode code) {
        for (const std::uint64_t number : begun) {
            if (code != base::ResultCode::Ok) {
                this->context.begunJobs.add(number, base::steadyNow());
            }
        }
    });
}

void CellTerm::addDueOccurrences()
{
    const std::int64_t now = unixTimeMs();
    std::vector<wire::TaskRefT> due;
    this->context.store.read([&](const CellState &state) {
        for (const std::uint64_t number : state.openJobs()) {
            const wire::JobT &job = *state.job(number);
            for (std::uint32_t k = 0; isActive(job) && k < job.spec->times; ++k) {
                const std::int64_t at = job.spec->first_due_ms + static_cast<std::int64_t>(k) * job.spec->every_ms;
                if (job.occurrences[k]->steps.empty() && at <= now) {
                    due.push_back(toRef({{number, k, 0}, 0}));
                }
            }
        }
    });
    if (this->context.batch.command().due.empty()) {
        for (const wire::TaskRefT &ref : due) {
            this->context.batch.command().due.push_back(std::make_unique<wire::TaskRefT>(ref));
        }
    }
}

void CellTerm::addJobsToForget()
{
    const std::int64_t endedBefore = unixTimeMs() - this->context.options.jobRetention.count();
    this->context.store.read([&](const CellState &state) {
        for (const auto &[number, job] : state.jobs()) {
            if (!isActive(*job) && job->ended_ms < endedBefore && state.openJobs().count(number) == 0) {
                this->context.batch.command().forget.push_back(number);
            }
        }
        for (const auto &[id, cancelled] : state.cancelledIds()) {
            if (cancelled.cancelledMs < endedBefore) {
                this->context.batch.command().forget_cancelled.push_back(id);
            }
        }
    });
}

} // namespace cranberryreel::cell
