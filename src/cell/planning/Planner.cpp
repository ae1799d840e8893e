#include "cell/planning/Planner.h"

#include "cell/planning/WaitingOrder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cranberryreel::cell::planning
{

namespace
{

/// Upstreams where the task failed rank behind those of all speeds.
constexpr int FailedHereRank = 64;

/// Large work beyond what can be had now drains upstreams once it has waited for so long: draining costs other work room, and most gangs get theirs sooner.
constexpr std::chrono::milliseconds MinWaitToDrain{2500};

bool hasWaitedToDrain(const PlanInput &input, const ReadyStep &ready)
{
    const auto accepted = input.acceptedAt.find(ready.key.job);
    return accepted == input.acceptedAt.end() || input.now - accepted->second >= MinWaitToDrain;
}

} // namespace

Planner::Planner(const PlanInput &planInput)
    : input(planInput)
    , capacities(planInput.state, planInput.trackers, planInput.now, planInput.speeds)
    , pools(servicePools(planInput.state, capacities))
    , speedPlacement(planInput, capacities, pools)
    , rules(planInput)
    , ledger(planInput.state)
    , preemptor(planInput, capacities)
    , queryPlanner(planInput, rules, preemptor, speedPlacement)
    , largeWork(planInput, rules, preemptor)
{
}

Plan Planner::makePlan()
{
    std::vector<ReadyStep> waiting = readySteps(this->input.state);
    WaitingOrder(this->input.acceptedAt, this->input.now, &this->ledger, &this->speedPlacement.expectedSpeeds()).sort(waiting);
    this->reserveForPendingQueries(waiting);
    for (const ReadyStep &ready : waiting) {
        this->planStep(ready, this->pools[serviceOf(ready)]);
    }
    this->plan.preemptions = this->preemptor.takePreemptions();
    for (auto &[service, pool] : this->pools) {
        this->plan.loads.push_back(pool.load);
    }
    this->plan.teams = this->ledger.uses();
    this->plan.cellTotal = this->ledger.total();
    return std::move(this->plan);
}

/// A pending query counts only as far as the team's quota leaves starts for its tickets.
void Planner::reserveForPendingQueries(const std::vector<ReadyStep> &waiting)
{
    for (const ReadyStep &ready : waiting) {
        const StepAdvice &advice = this->input.advice.adviceFor(ready.key);
        if (!advice.queryPending || ready.portion > 0 || this->ledger.requestable(ready, 1) == 0) {
            continue;
        }
        this->queryPlanner.reserveForPendingQuery(ready, this->pools[serviceOf(ready)], this->capacities);
        this->ledger.recordRequest(ready, advice.pendingTasks);
    }
}

/// Starts what can start, and returns the tasks of the step that cannot; those of later portions as well, unless all of this one start.
std::vector<std::uint32_t> Planner::place(const ReadyStep &ready, ServicePool &pool)
{
    if (ready.portion > 0 && this->blockedSteps.count(ready.key) > 0) {
        return {};
    }
    std::vector<std::uint32_t> unplaced = ready.step->gang ? this->placeGang(ready, pool) : this->placeTasks(ready, pool);
    if (!unplaced.empty() && !ready.laterTasks.empty()) {
        unplaced.insert(unplaced.end(), ready.laterTasks.begin(), ready.laterTasks.end());
        this->blockedSteps.insert(ready.key);
    }
    return unplaced;
}

void Planner::planStep(const ReadyStep &ready, ServicePool &pool)
{
    const std::vector<std::uint32_t> unplaced = this->place(ready, pool);
    (isUrgent(ready) ? pool.load.urgentWaiting : pool.load.otherWaiting) += unplaced.size();
    if (unplaced.empty() || ready.queue == nullptr) {
        return;
    }
    const std::uint32_t startable = this->ledger.fitting(ready, static_cast<std::uint32_t>(unplaced.size()));
    if (startable == 0) {
        if (this->fitsWhenDrained(ready, pool)) {
            this->ledger.recordWaitForQuota(ready);
        }
        this->plan.waiting.push_back({ready.key, WaitReason::Quota, unplaced.size()});
        return;
    }
    auto query = this->planAdviceQuery(ready, startable, pool);
    WaitReason reason = this->waitReason(ready, pool, query);
    if (!isBeyondRate(ready) && (ready.step->gang || (pool.isLargeTask(*ready.step) && reason != WaitReason::Advice))) {
        query = this->reserveForLargeWork(ready, startable, pool, reason);
        if (ready.step->gang && (reason == WaitReason::Stops || reason == WaitReason::Advice)) {
            this->ledger.setAside(ready);
        }
    }
    this->plan.waiting.push_back({ready.key, reason, unplaced.size()});
    if (query) {
        this->plan.adviceQueries.push_back(std::move(*query));
    }
}

/// The query of a step that reserves no upstreams. A gang asks for the upstreams that it has reserved, unless it may reserve none; then it asks once all of it
/// fits.
std::optional<AdviceQuery> Planner::planAdviceQuery(const ReadyStep &ready, std::uint32_t startable, ServicePool &pool)
{
    if (ready.step->gang && (!isBeyondRate(ready) || pool.unreserved.countFitting(*ready.step, startable) < startable)) {
        return std::nullopt;
    }
    const std::uint32_t tasks = this->ledger.requestable(ready, startable);
    auto query = tasks == 0 ? std::nullopt : this->queryPlanner.planQuery(ready, tasks, pool);
    if (query && query->timing == QueryTiming::Immediate) {
        this->ledger.recordRequest(ready, query->tasks);
    }
    return query;
}

/// Why a step without reservations waits; `query` is what it asks the advice service in this plan.
WaitReason Planner::waitReason(const ReadyStep &ready, const ServicePool &pool, const std::optional<AdviceQuery> &query) const
{
    if (!leavesHeadroom(ready, ready.waiting.front(), pool)) {
        return WaitReason::Headroom;
    }
    return query && query->timing == QueryTiming::Immediate ? WaitReason::Advice : WaitReason::Capacity;
}

/// The rack of the step's data. For a step whose tasks share a rack, the rack where some run, or else the one where most of them fit.
std::string Planner::preferredRack(const ReadyStep &ready, const ServicePool &pool)
{
    const wire::StepT &step = *ready.step;
    if (!step.data_rack.empty() || !step.one_rack) {
        return step.data_rack;
    }
    const StepAdvice &advice = this->input.advice.adviceFor(ready.key);
    std::map<std::string, std::uint32_t> fitting;
    for (const UpstreamCapacity *capacity : pool.capacities) {
        if (capacity->upstream->labels.empty()) {
            continue;
        }
        const std::string &rack = capacity->upstream->labels.back();
        if (this->rules.runsOn(ready, capacity->upstream->number) > 0) {
            return rack;
        }
        if (this->rules.mayRunOn(ready, *capacity) && this->rules.hasRequiredTicket(ready, advice, *capacity)) {
            fitting[rack] += capacity->free.countFitting(step, step.tasks);
        }
    }
    const auto most = std::max_element(fitting.begin(), fitting.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == fitting.end() ? std::string() : most->first;
}

/// The properties that all tasks of the step share are looked up once, since a burst places hundreds of tasks in one plan.
std::vector<Planner::Candidate> Planner::candidatesFor(const ReadyStep &ready, ServicePool &pool)
{
    const std::string rack = this->preferredRack(ready, pool);
    const StepAdvice &advice = this->input.advice.adviceFor(ready.key);
    std::vector<Candidate> candidates;
    const auto consider = [&](UpstreamCapacity &capacity) {
        if (this->rules.mayRunOn(ready, capacity) && capacity.free.countFitting(*ready.step, 1) > 0 && this->rules.hasRequiredTicket(ready, advice, capacity)) {
            candidates.push_back({&capacity, !rack.empty() && !capacity.hasLabel(rack), isInOtherZone(ready, capacity)});
        }
    };
    if (ready.queue == nullptr || !ready.queue->advice) {
        for (UpstreamCapacity *capacity : pool.capacities) {
            consider(*capacity);
        }
        return this->speedPlacement.select(ready, pool, this->rules, std::move(candidates));
    }
    for (const auto &[upstream, ticket] : advice.allowed) {
        if (UpstreamCapacity *capacity = this->capacities.find(upstream); capacity != nullptr && capacity->upstream->service == pool.load.service) {
            consider(*capacity);
        }
    }
    return this->speedPlacement.select(ready, pool, this->rules, std::move(candidates));
}

UpstreamCapacity *Planner::bestUpstream(const ReadyStep &ready, std::uint32_t task, const std::vector<Candidate> &candidates) const
{
    UpstreamCapacity *best = nullptr;
    auto bestRank = std::make_tuple(false, 0, true, true, 0, std::int64_t{0}, std::int64_t{0});
    const auto failed = this->input.failedUpstreams.find({ready.key, task});
    std::optional<bool> leavesEnough; // The same for all fast upstreams.
    for (const Candidate &candidate : candidates) {
        UpstreamCapacity &capacity = *candidate.capacity;
        if (capacity.free.countFitting(*ready.step, 1) == 0 || this->rules.remainingTaskLimit(ready, capacity) == 0) {
            continue;
        }
        if (!PlacementRules::respectsReservation(ready, task, capacity)) {
            continue;
        }
        if (candidate.keptForUrgent != nullptr && !isRestart(ready, task)) {
            leavesEnough = leavesEnough ? leavesEnough : candidate.keptForUrgent->countFitting(ready, 1) > 0;
            if (!*leavesEnough) {
                continue;
            }
        }
        const bool failedHere = failed != this->input.failedUpstreams.end() && failed->second.count(capacity.upstream->number) > 0;
        const auto rank = std::make_tuple(capacity.reservation != Reservation::None,
                                          candidate.speedRank + (failedHere ? FailedHereRank : 0),
                                          candidate.offRack,
                                          candidate.otherZone,
                                          capacity.failuresInRow,
                                          capacity.free.accelerators,
                                          capacity.free.cpuMillis);
        if (best == nullptr || rank < bestRank) {
            best = &capacity;
            bestRank = rank;
        }
    }
    return best;
}

void Planner::planStart(const ReadyStep &ready, std::uint32_t task, std::uint32_t attempt, UpstreamCapacity &capacity, ServicePool &pool)
{
    capacity.allocate(*ready.step);
    pool.load.free.allocate(*ready.step);
    pool.unreserved.allocate(*ready.step);
    if (pool.fast) {
        pool.fast->recordStart(ready, capacity);
    }
    this->rules.recordPlanned(ready.key, capacity.upstream->number);
    this->ledger.recordStart(ready);
    this->plan.starts.push_back({{ready.key, task}, attempt, capacity.upstream->number});
}

void Planner::undoStarts(const ReadyStep &ready, std::size_t firstUndone, ServicePool &pool)
{
    for (std::size_t i = firstUndone; i < this->plan.starts.size(); ++i) {
        const std::uint64_t upstream = this->plan.starts[i].upstream;
        UpstreamCapacity &capacity = *this->capacities.find(upstream);
        capacity.release(*ready.step);
        if (pool.fast) {
            pool.fast->undoStart(ready, capacity);
        }
        pool.load.free.release(*ready.step);
        pool.unreserved.release(*ready.step);
        this->rules.undoPlanned(ready.key, upstream);
        this->ledger.undoStart(ready);
    }
    this->plan.starts.resize(firstUndone);
}

std::vector<std::uint32_t> Planner::placeTasks(const ReadyStep &ready, ServicePool &pool)
{
    const std::uint32_t startable = this->ledger.fitting(ready, static_cast<std::uint32_t>(ready.waiting.size()));
    if (startable == 0 || !leavesHeadroom(ready, ready.waiting.front(), pool)) {
        return ready.waiting;
    }
    const std::vector<Candidate> candidates = this->candidatesFor(ready, pool);
    for (std::size_t i = 0; i < ready.waiting.size(); ++i) {
        const std::uint32_t task = ready.waiting[i];
        UpstreamCapacity *capacity = i < startable && leavesHeadroom(ready, task, pool) ? this->bestUpstream(ready, task, candidates) : nullptr;
        if (capacity == nullptr) {
            return {ready.waiting.begin() + static_cast<std::ptrdiff_t>(i), ready.waiting.end()};
        }
        this->planStart(ready, task, ready.state->tasks[task]->last_attempt + 1, *capacity, pool);
    }
    return {};
}

std::vector<std::uint32_t> Planner::placeGang(const ReadyStep &ready, ServicePool &pool)
{
    if (this->ledger.fitting(ready, 1) == 0) {
        return ready.waiting;
    }
    const std::vector<Candidate> candidates = this->candidatesFor(ready, pool);
    std::uint32_t attempt = 0;
    for (const auto &task : ready.state->tasks) {
        attempt = std::max(attempt, task->last_attempt);
    }
    const std::size_t startsBefore = this->plan.starts.size();
    for (const std::uint32_t task : ready.waiting) {
        UpstreamCapacity *capacity = leavesHeadroom(ready, task, pool) ? this->bestUpstream(ready, task, candidates) : nullptr;
        if (capacity == nullptr) {
            this->undoStarts(ready, startsBefore, pool);
            return ready.waiting;
        }
        this->planStart(ready, task, attempt + 1, *capacity, pool);
    }
    return {};
}

/// Whether the usable upstreams could hold the step if only tasks that last ran there. Work for which this fails must not hold back other work of its team.
bool Planner::fitsWhenDrained(const ReadyStep &ready, const ServicePool &pool) const
{
    const auto needed = ready.step->gang ? static_cast<std::uint32_t>(ready.waiting.size()) : 1U;
    std::uint32_t fitting = 0;
    for (const UpstreamCapacity *capacity : pool.capacities) {
        const std::uint32_t most = this->rules.mayRunOn(ready, *capacity) ? std::min(needed, this->rules.remainingTaskLimit(ready, *capacity)) : 0;
        fitting += capacity->freeWhenDrained.countFitting(*ready.step, most);
        if (fitting >= needed) {
            return true;
        }
    }
    return false;
}

/// Reserves upstreams for large work that does not fit, and returns the query for their tickets, if one is needed now. Sets `reason` to what the step waits
/// for.
std::optional<AdviceQuery> Planner::reserveForLargeWork(const ReadyStep &ready, std::uint32_t unplaced, ServicePool &pool, WaitReason &reason)
{
    // The tasks of a gang start together; other large tasks get their capacity one by one.
    const std::uint32_t tasks = ready.step->gang ? unplaced : 1;
    const bool admitted = this->largeWork.admit(ready, tasks, pool);
    // The first step beyond what can be had now may still drain upstreams: it would wait for as long as small work keeps coming.
    if (!admitted && (pool.servesLargeWork || !hasWaitedToDrain(this->input, ready))) {
        reason = WaitReason::Budget;
        return std::nullopt;
    }
    const LargeWorkReserver::Reserved reserved = this->largeWork.reserve(ready, tasks, pool);
    reason = reserved.reason;
    auto query = this->queryPlanner.planLargeQuery(ready, unplaced, pool, reserved.upstreams);
    const bool holds = reason != WaitReason::Allowed && reason != WaitReason::Blocked && reason != WaitReason::Yielding;
    const bool asks = query || this->input.advice.adviceFor(ready.key).queryPending;
    if (admitted && !holds && !asks) {
        LargeWorkReserver::giveBack(ready, tasks, pool);
    }
    pool.servesLargeWork = pool.servesLargeWork || holds || asks;
    return query;
}

} // namespace cranberryreel::cell::planning
