#include "cell/CellTerm.h"

#include "cell/AdviceQueryOrder.h"
#include "cell/Codec.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

constexpr std::chrono::seconds CleanUpEvery{5};
/// Beyond the time that the advice service states for a question, for its queue and the way there.
constexpr std::chrono::milliseconds AdviceAllowance{600};
/// A ticket is planned with no longer than its validity less this: for the way of its answer, the commit and the order.
constexpr std::chrono::milliseconds TicketMargin{300};
/// The same for an order that goes out now; it reaches the upstream within milliseconds.
constexpr std::chrono::milliseconds TicketMarginOfOrder{100};
constexpr std::chrono::milliseconds AskAgainAfter{150};
constexpr std::chrono::seconds TellLoadEvery{1};
/// What the jobs of a batch no longer need is stopped with its commit; this finds what else may be left over.
constexpr std::chrono::milliseconds ReconcileEvery{250};
/// After a plan that decided nothing the next one waits so long, unless a job or an end has come: hundreds of renewals a second change next to nothing.
constexpr std::chrono::milliseconds PlanPause{20};

} // namespace

std::int64_t unixMilliseconds()
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
    : context{cellOptions, term, store, calls, advice, {}, {}, {}, {}, std::move(post), {}, {}}
    , group(cellGroup)
    , runs(context, adviceCache)
    , fleet(context, runs)
    , desk(context, fleet)
{
    this->context.leads = [this] { return this->group.holdsLease(base::steadyNow()); };
    this->context.wake = [this] {
        if (!std::exchange(this->pumpQueued, true)) {
            this->context.post([this] {
                this->pumpQueued = false;
                this->pump();
            });
        }
    };
    const base::SteadyTime now = base::steadyNow();
    this->runs.adopt(now);
    this->context.store.read([this, now](const CellState &state) { this->watch.adopt(state, unixMilliseconds(), now); });
    this->tick();
}

CellTerm::~CellTerm()
{
    for (const Committed &done : std::exchange(this->underWay, {})) {
        done(base::ResultCode::GroupUnavailable);
    }
    for (const Committed &done : this->context.batch.take().second) {
        done(base::ResultCode::NotLeader);
    }
}

void CellTerm::call(wire::CallT call, const Reply &reply)
{
    this->desk.call(std::move(call), reply);
}

void CellTerm::tick()
{
    const base::SteadyTime now = base::steadyNow();
    this->fleet.tick(now);
    if (now >= this->nextReconcile) {
        this->nextReconcile = now + ReconcileEvery;
        this->runs.reconcile();
    }
    this->runs.tick(now);
    this->addDueOccurrences();
    if (now >= this->nextCleanUp) {
        this->nextCleanUp = now + CleanUpEvery;
        this->addForgotten();
        this->runs.forgetClosedJobs();
        this->context.store.read([this](const CellState &state) {
            this->adviceCache.eraseClosedJobs([&state](std::uint64_t job) { return state.openJobs().count(job) > 0; });
            this->context.slow.eraseClosedJobs(state);
        });
    }
    this->pump();
}

void CellTerm::pump()
{
    if (this->proposing || !this->context.leads()) {
        return;
    }
    if (const base::SteadyTime now = base::steadyNow(); now >= this->nextPlan) {
        this->planStarts(now);
    }
    if (!this->context.batch.empty()) {
        this->propose();
    }
}

void CellTerm::planStarts(base::SteadyTime now)
{
    const Plan plan = this->context.store.read([this, now](const CellState &state) {
        const auto viewRun = [this](const RunKey &key) { return this->viewOf(key); };
        const PlanInput input{state, this->context.lives, this->adviceCache, this->runs.failedAt(), this->watch.acceptanceTimes(), now, viewRun};
        return Planner(input).makePlan();
    });
    this->tellLoad(plan.loads, now);
    this->giveWay(plan.preemptions);
    const bool asked = this->askInOrder(plan.adviceQueries);
    this->nextPlan = plan.starts.empty() && !asked ? now + PlanPause : base::SteadyTime();
    if (plan.starts.empty()) {
        return;
    }
    this->noteUse(plan.starts);
    for (const PlannedStart &start : plan.starts) {
        auto placement = std::make_unique<wire::PlacementT>();
        placement->task = std::make_unique<wire::TaskRefT>(toRef(start.task));
        placement->attempt = start.attempt;
        placement->upstream = start.upstream;
        this->context.batch.command().placements.push_back(std::move(placement));
    }
    this->context.batch.then([this, starts = plan.starts](base::ResultCode code) {
        if (code == base::ResultCode::Ok) {
            this->runs.placed(starts);
        }
    });
}

void CellTerm::tellLoad(const std::vector<ServiceLoad> &loads, base::SteadyTime now)
{
    if (now < this->nextLoadLine) {
        return;
    }
    this->nextLoadLine = now + TellLoadEvery;
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

RunView CellTerm::viewOf(const RunKey &key)
{
    RunView view;
    if (const RunTrack *track = this->context.runs.find(key)) {
        view.stopping = track->phase == RunPhase::Stopping || track->ending;
        view.confirmed = track->phase == RunPhase::Confirmed && !track->ending;
        view.percent = std::max(track->percent, 0);
    }
    return view;
}

void CellTerm::giveWay(const std::vector<RunKey> &stops)
{
    static observe::Counter &given = observe::counter("cranberryreel_cell_preemptions_total", "Runs stopped for work of a higher priority.");
    for (const RunKey &key : stops) {
        if (RunTrack *track = this->context.runs.find(key)) {
            Logger.info("event=preempted task={} attempt={} number={} percent={}", track->task, key.attempt, track->upstream, track->percent);
            given.add();
            this->runs.stop(*track);
        }
    }
    if (!stops.empty()) {
        this->runs.tick(base::steadyNow());
    }
}

/// When no VM is free for a slow question, none is for a later one. True when any was asked.
bool CellTerm::askInOrder(std::vector<AdviceQuery> wishes)
{
    interleaveByQueue(wishes, this->questionsUnderWay);
    bool asked = false;
    bool slowTaken = true;
    for (const AdviceQuery &wish : wishes) {
        if (!wish.quick && !slowTaken) {
            continue;
        }
        const bool taken = this->ask(wish);
        asked = asked || taken;
        if (!taken && wish.quick) {
            break;
        }
        slowTaken = slowTaken && (taken || wish.quick);
    }
    return asked;
}

/// Adds the time that the service spent on a step's tickets to the time that led to a start.
void CellTerm::noteUse(const std::vector<PlannedStart> &starts)
{
    static observe::Counter &used = observe::counter("cranberryreel_cell_advice_used_milliseconds_total", "Time of the advice service that led to a start.");
    for (const PlannedStart &start : starts) {
        StepAdvice &advice = this->adviceCache.adviceFor(start.task.step);
        used.add(static_cast<std::uint64_t>(std::exchange(advice.unusedServiceTime, std::chrono::milliseconds(0)).count()));
    }
}

bool CellTerm::ask(const AdviceQuery &wish)
{
    std::string step;
    std::vector<std::string> ids;
    std::map<std::string, std::uint64_t> asked;
    this->context.store.read([&](const CellState &state) {
        if (const wire::JobT *job = state.job(wish.step.job)) {
            step = stepName(job->spec->id, wish.step);
        }
        for (const std::uint64_t number : wish.upstreams) {
            if (const auto found = state.upstreams().find(number); found != state.upstreams().end()) {
                ids.push_back(found->second.id);
                asked[found->second.id] = number;
            }
        }
    });
    const auto slow = wish.timing == QueryTiming::Immediate ? AdviceDispatcher::QueryClass::Slow : AdviceDispatcher::QueryClass::Prefetch;
    const auto pace = wish.quick ? AdviceDispatcher::QueryClass::Quick : slow;
    const bool taken = this->context.advice.tryQuery(
        pace, step, ids, wish.expectedDuration + AdviceAllowance, [this, post = this->context.post, wish, asked = std::move(asked)](AdviceResult result) {
            post([this, wish, asked, result = std::move(result)] { this->advised(wish, asked, result); });
        });
    if (taken) {
        static observe::Counter &spent =
            observe::counter("cranberryreel_cell_advice_asked_milliseconds_total", "Time that questions to the advice service take.");
        spent.add(static_cast<std::uint64_t>(wish.expectedDuration.count()));
        StepAdvice &advice = this->adviceCache.adviceFor(wish.step);
        advice.queryPending = true;
        ++this->questionsUnderWay[wish.queue];
        advice.pendingUpstreams = wish.upstreams;
        advice.pendingTasks = wish.timing == QueryTiming::Immediate ? wish.tasks : 0;
        advice.unusedServiceTime += wish.expectedDuration;
    }
    return taken;
}

void CellTerm::advised(const AdviceQuery &wish, const std::map<std::string, std::uint64_t> &asked, const AdviceResult &result)
{
    const base::SteadyTime now = base::steadyNow();
    StepAdvice &advice = this->adviceCache.adviceFor(wish.step);
    advice.queryPending = false;
    advice.pendingUpstreams.clear();
    --this->questionsUnderWay[wish.queue];
    if (!result.answered) {
        advice.nextQueryAt = now + AskAgainAfter;
        Logger.info("event=advice_missing job_number={} step={} asked={} busy={} detail=\"{}\"",
                    wish.step.job,
                    wish.step.step,
                    asked.size(),
                    result.busy,
                    result.detail);
        return;
    }
    Logger.info("event=advised job_number={} step={} queue={} asked={} allowed={} expected_ms={}",
                wish.step.job,
                wish.step.step,
                wish.queue,
                asked.size(),
                result.tickets.size(),
                wish.expectedDuration.count());
    for (const auto &[id, number] : asked) {
        advice.queried.insert(number);
    }
    this->adviceCache.allowRates.recordAnswer(wish.queue, asked.size(), result.tickets.size());
    for (const auto &[id, ticket] : result.tickets) {
        const auto number = asked.find(id);
        const auto life = number == asked.end() ? this->context.lives.end() : this->context.lives.find(number->second);
        if (life != this->context.lives.end()) {
            advice.allowed[number->second] = {
                ticket, now + wish.ticketLifetime - TicketMargin, life->second.epoch, now + wish.ticketLifetime - TicketMarginOfOrder};
        }
    }
    this->nextPlan = {};
    this->context.wake();
}

void CellTerm::propose()
{
    auto [taken, waiting] = this->context.batch.take();
    const std::shared_ptr<wire::CommandT> command = std::move(taken);
    command->now_ms = unixMilliseconds();
    this->proposing = true;
    this->underWay = std::move(waiting);
    static observe::DurationHistogram &commits = observe::durations("cranberryreel_cell_commit_seconds", "From the proposal of a batch to its commit.");
    const base::SteadyTime since = base::steadyNow();
    this->group.propose(pack<wire::Command>(*command),
                        replication::Durability::Majority,
                        [this, post = this->context.post, since, command](const replication::ProposeResult &result) {
                            post([this, since, command, code = result.code] {
                                commits.record(base::steadyNow() - since);
                                if (code == base::ResultCode::Ok) {
                                    this->noteCourses(*command);
                                }
                                this->proposed(*command, code);
                            });
                        });
}

void CellTerm::noteCourses(const wire::CommandT &command)
{
    const base::SteadyTime now = base::steadyNow();
    this->context.store.read([&](const CellState &state) {
        for (const auto &spec : command.jobs) {
            if (const wire::JobT *job = state.jobNamed(spec->id)) {
                this->watch.accepted(job->number, now);
            }
        }
        for (const auto &placement : command.placements) {
            this->watch.started(placement->task->job, now);
        }
        if (!command.ends.empty() || !command.cancels.empty()) {
            this->watch.look(state, now);
        }
    });
}

void CellTerm::proposed(const wire::CommandT &command, base::ResultCode code)
{
    this->proposing = false;
    for (const Committed &done : std::exchange(this->underWay, {})) {
        done(code);
    }
    if (!command.jobs.empty() || !command.ends.empty() || !command.due.empty()) {
        this->nextPlan = {};
    }
    std::set<std::uint64_t> changed;
    for (const auto &end : command.ends) {
        changed.insert(end->task->job);
    }
    if (!command.cancels.empty()) {
        this->context.store.read([&](const CellState &state) {
            for (const std::string &id : command.cancels) {
                if (const wire::JobT *job = state.jobNamed(id)) {
                    changed.insert(job->number);
                }
            }
        });
    }
    if (this->runs.reconcile(changed)) {
        this->runs.tick(base::steadyNow());
    }
    this->pump();
}

void CellTerm::addDueOccurrences()
{
    const std::int64_t now = unixMilliseconds();
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

void CellTerm::addForgotten()
{
    const std::int64_t endedBefore = unixMilliseconds() - this->context.options.jobRetention.count();
    this->context.store.read([&](const CellState &state) {
        for (const auto &[number, job] : state.jobs()) {
            if (!isActive(*job) && job->ended_ms < endedBefore && state.openJobs().count(number) == 0) {
                this->context.batch.command().forget.push_back(number);
            }
        }
    });
}

} // namespace cranberryreel::cell
