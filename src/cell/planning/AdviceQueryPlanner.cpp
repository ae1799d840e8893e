#include "cell/planning/AdviceQueryPlanner.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace cranberryreel::cell::planning
{

namespace
{

/// The advice service accepts 100 upstreams per call; beyond this number, enlarging a slow query costs more time than sending a second one.
constexpr std::size_t MaxUpstreamsPerQuery = 48;
/// A gang starts only with all its tickets, and a second query would start only after the first has ended, so a gang may name as many upstreams as the service
/// accepts.
constexpr std::size_t MaxUpstreamsPerGangQuery = 100;
/// Queries that are expected to take longer than this are slow; see AdviceDispatcher.
constexpr std::chrono::milliseconds QuickQueryLimit{150};
/// One upstream more than needed is named for each so many tasks, since some upstreams fill up before the tickets are used.
constexpr std::uint32_t TasksPerSpareUpstream = 4;
/// Upstreams beyond the likely need may add at most this share of the fixed cost of a query, which a second query would cost in full.
constexpr double SpareUpstreamsCostShare = 0.1;
/// The same for upstreams without free capacity.
constexpr double FullUpstreamsCostShare = 0.25;
/// Factor on the tickets queried for a gang, which needs all of them at once.
constexpr double GangTicketMargin = 1.5;
/// A gang's other tickets must be valid for this time after an answer to be used with it.
constexpr std::chrono::milliseconds TicketSpareTime{200};
/// Maximum number of upstreams named beyond the likely need.
constexpr double MaxSpareUpstreams = 8;

std::chrono::milliseconds queryDuration(const wire::AdviceT &advice, std::size_t upstreams)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::microseconds(advice.decision_us + advice.per_upstream_us * upstreams));
}

std::size_t spareUpstreams(const wire::AdviceT &advice)
{
    if (advice.per_upstream_us == 0) {
        return static_cast<std::size_t>(MaxSpareUpstreams);
    }
    const double worth = SpareUpstreamsCostShare * static_cast<double>(advice.decision_us) / static_cast<double>(advice.per_upstream_us);
    return static_cast<std::size_t>(std::clamp(worth, 1.0, MaxSpareUpstreams));
}

/// Work on accelerators fills partly used upstreams, which keeps others empty for work that needs whole upstreams. Other work goes to the emptiest upstreams.
auto preferenceRank(const ReadyStep &ready, const UpstreamCapacity &capacity)
{
    const bool packs = ready.step->accelerators > 0;
    const std::int64_t accelerators = packs ? capacity.unreserved.accelerators : -capacity.unreserved.accelerators;
    return std::make_tuple(isInOtherZone(ready, capacity), accelerators, packs ? capacity.unreserved.cpuMillis : -capacity.unreserved.cpuMillis);
}

bool isOffDataRack(const ReadyStep &ready, const UpstreamCapacity &capacity)
{
    return !ready.step->data_rack.empty() && !capacity.hasLabel(ready.step->data_rack);
}

} // namespace

AdviceQueryPlanner::AdviceQueryPlanner(const PlanInput &planInput,
                                       const PlacementRules &placementRules,
                                       Preemptor &workPreemptor,
                                       const SpeedPlacement &placementBySpeed)
    : input(planInput)
    , rules(placementRules)
    , preemptor(workPreemptor)
    , speedPlacement(placementBySpeed)
{
}

void AdviceQueryPlanner::reserveForPendingQuery(const ReadyStep &ready, ServicePool &pool, CapacityTable &capacities) const
{
    const StepAdvice &advice = this->input.advice.adviceFor(ready.key);
    if (!advice.queryPending || advice.pendingUpstreams.empty()) {
        return;
    }
    pool.unreserved.allocate(*ready.step, advice.pendingTasks);
    for (const std::uint64_t upstream : advice.pendingUpstreams) {
        if (UpstreamCapacity *capacity = capacities.find(upstream)) {
            capacity->unreserved.allocatePart(*ready.step, advice.pendingTasks, advice.pendingUpstreams.size());
        }
    }
}

bool AdviceQueryPlanner::mayQuery(const ReadyStep &ready) const
{
    if (!ready.queue->advice) {
        return false;
    }
    const StepAdvice &advice = this->input.advice.adviceFor(ready.key);
    return !advice.queryPending && advice.nextQueryAt <= this->input.now;
}

std::optional<AdviceQuery> AdviceQueryPlanner::planLargeQuery(const ReadyStep &ready,
                                                              std::uint32_t unplaced,
                                                              const ServicePool &pool,
                                                              const std::vector<UpstreamCapacity *> &reserved) const
{
    if (!this->mayQuery(ready)) {
        return std::nullopt;
    }
    const std::vector<UpstreamCapacity *> chosen = this->chooseForLargeWork(ready, pool, reserved);
    return chosen.empty() ? std::nullopt : std::optional<AdviceQuery>(this->buildQuery(ready, unplaced, chosen, QueryTiming::Immediate));
}

std::optional<AdviceQuery> AdviceQueryPlanner::planQuery(const ReadyStep &ready, std::uint32_t unplaced, ServicePool &pool) const
{
    if (!this->mayQuery(ready) || !leavesHeadroom(ready, ready.waiting.front(), pool)) {
        return std::nullopt;
    }
    Capacity unreserved = pool.unreserved;
    const std::uint32_t inHeadroom = countInHeadroom(ready, pool);
    unreserved.cpuMillis -= inHeadroom > 0 ? 0 : pool.headroomCpuMillis();
    std::uint32_t tasks = unreserved.countFitting(*ready.step, inHeadroom > 0 ? std::min(unplaced, inHeadroom) : unplaced);
    std::vector<UpstreamCapacity *> chosen;
    if (tasks > 0) {
        chosen = this->chooseUpstreams(ready, tasks, pool, [](const UpstreamCapacity &capacity) { return capacity.unreserved; });
    }
    if (chosen.empty()) {
        chosen = this->chooseUpstreams(ready, unplaced, pool, [](const UpstreamCapacity &capacity) { return capacity.free; });
        return chosen.empty() ? std::nullopt : std::optional<AdviceQuery>(this->buildQuery(ready, unplaced, chosen, QueryTiming::Prefetch));
    }
    pool.unreserved.allocate(*ready.step, tasks);
    for (UpstreamCapacity *capacity : chosen) {
        capacity->unreserved.allocatePart(*ready.step, tasks, chosen.size());
    }
    return this->buildQuery(ready, tasks, chosen, QueryTiming::Immediate);
}

AdviceQuery AdviceQueryPlanner::buildQuery(const ReadyStep &ready, std::uint32_t tasks, const std::vector<UpstreamCapacity *> &chosen, QueryTiming timing) const
{
    AdviceQuery query;
    query.step = ready.key;
    query.queue = ready.queue->name;
    query.tasks = tasks;
    query.timing = timing;
    for (const UpstreamCapacity *capacity : chosen) {
        query.upstreams.push_back(capacity->upstream->number);
    }
    query.expectedDuration = queryDuration(*ready.queue->advice, query.upstreams.size());
    query.quick = query.expectedDuration <= QuickQueryLimit;
    query.ticketLifetime = std::chrono::milliseconds(ready.queue->advice->valid_ms);
    return query;
}

AdviceQueryPlanner::UpstreamGroups
AdviceQueryPlanner::groupUpstreams(const ReadyStep &ready, std::uint32_t tasks, const ServicePool &pool, const AvailableCapacity &availableOn) const
{
    const StepAdvice &advice = this->input.advice.adviceFor(ready.key);
    const bool keepsFast = pool.fast && !countsAsUrgent(ready) && countRestarts(ready) == 0 && pool.fast->countFitting(ready, 1) == 0;
    UpstreamGroups groups;
    for (UpstreamCapacity *capacity : pool.capacities) {
        const std::uint32_t taskLimit = this->rules.mayRunOn(ready, *capacity) ? this->rules.remainingTaskLimit(ready, *capacity) : 0;
        if (taskLimit == 0) {
            continue;
        }
        const bool allowed = advice.allowed.count(capacity->upstream->number) > 0;
        groups.allowedCount += allowed && Capacity::totalOf(*capacity->upstream).countFitting(*ready.step, 1) > 0 ? 1 : 0;
        const bool kept = keepsFast && pool.fast->contains(*capacity);
        const std::uint32_t fitting = !kept ? availableOn(*capacity).countFitting(*ready.step, std::min(tasks, taskLimit)) : 0;
        if (fitting == 0) {
            const bool mayBeAllowed =
                advice.queried.count(capacity->upstream->number) == 0 && Capacity::totalOf(*capacity->upstream).countFitting(*ready.step, 1) > 0;
            if (mayBeAllowed || (allowed && !this->rules.hasRequiredTicket(ready, advice, *capacity))) {
                groups.full.push_back(capacity);
            }
            continue;
        }
        if (allowed && this->rules.hasRequiredTicket(ready, advice, *capacity)) {
            groups.tasksWithTicket += fitting;
        } else if (allowed) {
            groups.withoutTicket.push_back(capacity);
        } else if (advice.queried.count(capacity->upstream->number) == 0) {
            groups.notQueried.push_back(capacity);
        }
    }
    this->sortByPreference(ready, pool, groups);
    // Allowed upstreams come first.
    std::stable_partition(
        groups.full.begin(), groups.full.end(), [&advice](const UpstreamCapacity *capacity) { return advice.allowed.count(capacity->upstream->number) > 0; });
    return groups;
}

void AdviceQueryPlanner::sortByPreference(const ReadyStep &ready, const ServicePool &pool, UpstreamGroups &groups) const
{
    const auto preferred = [&ready](const UpstreamCapacity *left, const UpstreamCapacity *right) {
        return preferenceRank(ready, *left) < preferenceRank(ready, *right);
    };
    std::sort(groups.withoutTicket.begin(), groups.withoutTicket.end(), preferred);
    std::sort(groups.notQueried.begin(), groups.notQueried.end(), preferred);
    const SpeedPreference preference = this->speedPlacement.preferenceFor(ready, pool);
    if (!preference.isSet()) {
        return;
    }
    std::vector<std::pair<int, UpstreamCapacity *>> ranked;
    for (std::vector<UpstreamCapacity *> *group : {&groups.withoutTicket, &groups.notQueried, &groups.full}) {
        ranked.clear();
        for (UpstreamCapacity *capacity : *group) {
            ranked.emplace_back(this->speedPlacement.rankOf(preference, *capacity, isOffDataRack(ready, *capacity)), capacity);
        }
        std::stable_sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
        std::transform(ranked.begin(), ranked.end(), group->begin(), [](const auto &each) { return each.second; });
    }
}

std::vector<UpstreamCapacity *>
AdviceQueryPlanner::chooseUpstreams(const ReadyStep &ready, std::uint32_t tasks, const ServicePool &pool, const AvailableCapacity &availableOn) const
{
    const UpstreamGroups groups = this->groupUpstreams(ready, tasks, pool, availableOn);
    std::vector<UpstreamCapacity *> chosen;
    std::uint32_t fitting = groups.tasksWithTicket;
    for (UpstreamCapacity *capacity : groups.withoutTicket) {
        if (fitting >= tasks + tasks / TasksPerSpareUpstream + 1 || chosen.size() >= MaxUpstreamsPerQuery) {
            break;
        }
        fitting += availableOn(*capacity).countFitting(*ready.step, std::min(tasks, this->rules.remainingTaskLimit(ready, *capacity)));
        chosen.push_back(capacity);
    }
    if (fitting < tasks) {
        this->addNotQueried(ready, tasks - fitting, groups, availableOn, chosen);
    }
    if (!chosen.empty()) {
        this->addFull(ready, groups, chosen);
    }
    return chosen;
}

/// Other upstreams get free capacity while the tickets are valid, so full ones are named as well where that costs little.
void AdviceQueryPlanner::addFull(const ReadyStep &ready, const UpstreamGroups &groups, std::vector<UpstreamCapacity *> &chosen) const
{
    const wire::AdviceT &costs = *ready.queue->advice;
    const double worth =
        FullUpstreamsCostShare * static_cast<double>(costs.decision_us) / static_cast<double>(std::max<std::uint64_t>(costs.per_upstream_us, 1));
    const auto limit = static_cast<std::size_t>(std::min(worth, static_cast<double>(MaxUpstreamsPerQuery)));
    for (std::size_t i = 0; i < groups.full.size() && i < limit && chosen.size() < MaxUpstreamsPerQuery; ++i) {
        chosen.push_back(groups.full[i]);
    }
}

/// With reserved upstreams, queries fresh tickets for them. Otherwise queries further upstreams, when the expected number of allowed ones suffices or too few
/// are known to be allowed.
std::vector<UpstreamCapacity *>
AdviceQueryPlanner::chooseForLargeWork(const ReadyStep &ready, const ServicePool &pool, const std::vector<UpstreamCapacity *> &reserved) const
{
    const StepAdvice &advice = this->input.advice.adviceFor(ready.key);
    std::vector<UpstreamCapacity *> chosen;
    if (!reserved.empty()) {
        const auto lacksTicket = [&](const UpstreamCapacity *capacity) { return !this->rules.hasRequiredTicket(ready, advice, *capacity); };
        if (std::none_of(reserved.begin(), reserved.end(), lacksTicket)) {
            return chosen;
        }
        // Tickets that would run out before the answer are asked for as well: one after the other, they would never all be valid together.
        const base::SteadyTime answerAt = this->input.now + queryDuration(*ready.queue->advice, reserved.size());
        for (UpstreamCapacity *capacity : reserved) {
            const auto ticket = advice.allowed.find(capacity->upstream->number);
            const bool lasts = ticket != advice.allowed.end() && ticket->second.placeUntil > answerAt + TicketSpareTime;
            if ((lacksTicket(capacity) || !lasts) && chosen.size() < MaxUpstreamsPerGangQuery) {
                chosen.push_back(capacity);
            }
        }
        return chosen;
    }
    const auto tasks = static_cast<std::uint32_t>(ready.waiting.size());
    const AvailableCapacity reclaimable = [this, &ready](const UpstreamCapacity &capacity) { return this->preemptor.reclaimableCapacity(ready, capacity); };
    const UpstreamGroups groups = this->groupUpstreams(ready, tasks, pool, reclaimable);
    double expectedTasks = 0;
    for (const UpstreamCapacity *capacity : groups.notQueried) {
        expectedTasks += this->input.advice.allowRates.rateFor(ready.queue->name) * reclaimable(*capacity).countFitting(*ready.step, tasks);
    }
    const bool tooFewAllowed = groups.allowedCount < static_cast<std::size_t>(GangTicketMargin * tasks) + 1;
    if (expectedTasks < tasks && !tooFewAllowed) {
        return chosen;
    }
    const bool all = this->asksForAll(ready, pool);
    const std::uint32_t wanted = all ? std::numeric_limits<std::uint32_t>::max() : tasks;
    // A query takes a limited number of names, so those with free capacity come first.
    if (expectedTasks >= tasks || all) {
        this->addNotQueried(ready, wanted, groups, reclaimable, chosen);
    }
    if (expectedTasks < tasks || all) {
        const AvailableCapacity totalCapacity = [](const UpstreamCapacity &capacity) { return Capacity::totalOf(*capacity.upstream); };
        this->addNotQueried(ready, wanted, this->groupUpstreams(ready, tasks, pool, totalCapacity), totalCapacity, chosen);
    }
    return chosen;
}

/// A gang whose first answer did not suffice asks about all other upstreams at once, where one call can name them. Asked about a few at a time, those that it
/// learns to be allowed fill up before it knows enough that are free together.
bool AdviceQueryPlanner::asksForAll(const ReadyStep &ready, const ServicePool &pool) const
{
    const std::size_t queried = this->input.advice.adviceFor(ready.key).queried.size();
    return ready.step->gang && queried > 0 && pool.capacities.size() <= queried + MaxUpstreamsPerGangQuery;
}

void AdviceQueryPlanner::addNotQueried(const ReadyStep &ready,
                                       std::uint32_t tasks,
                                       const UpstreamGroups &groups,
                                       const AvailableCapacity &availableOn,
                                       std::vector<UpstreamCapacity *> &chosen) const
{
    const double allowRate = this->input.advice.allowRates.rateFor(ready.queue->name);
    const double needed = (ready.step->gang ? GangTicketMargin : 1.0) * tasks;
    double expectedTasks = 0;
    std::size_t spareLeft = spareUpstreams(*ready.queue->advice);
    const std::size_t limit = ready.step->gang ? MaxUpstreamsPerGangQuery : MaxUpstreamsPerQuery;
    for (UpstreamCapacity *capacity : groups.notQueried) {
        if (std::find(chosen.begin(), chosen.end(), capacity) != chosen.end()) {
            continue;
        }
        if (chosen.size() >= limit || (expectedTasks >= needed && spareLeft == 0)) {
            return;
        }
        spareLeft -= expectedTasks >= needed ? 1 : 0;
        expectedTasks += allowRate * availableOn(*capacity).countFitting(*ready.step, std::min(tasks, this->rules.remainingTaskLimit(ready, *capacity)));
        chosen.push_back(capacity);
    }
}

} // namespace cranberryreel::cell::planning
