#include "cell/planning/LargeWorkReserver.h"

#include "cell/planning/SpeedPlacement.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace cranberryreel::cell::planning
{

namespace
{

using std::chrono::milliseconds;

/// Waiting large work reserves at most the number of upstreams of a service divided by this, or as many as the first gang has tasks: reserved upstreams stand
/// idle until enough capacity is free.
constexpr std::size_t ReservableUpstreamsDivisor = 4;
/// Term of a reservation once its upstreams have room: for stops and tickets, which take seconds.
constexpr milliseconds MaxHold{10000};
/// Upstreams may take this many times the expected time to drain.
constexpr int DrainTimeFactor = 2;
/// Where most of a service is free, work that fits waits behind large work no longer than this, however many large steps follow each other; by the platform's
/// rules it is lost after 3 s.
constexpr milliseconds MaxHoldWhileMostlyFree{2500};

bool isQueryPendingFor(const StepAdvice &advice, std::uint64_t upstream)
{
    return advice.queryPending && std::find(advice.pendingUpstreams.begin(), advice.pendingUpstreams.end(), upstream) != advice.pendingUpstreams.end();
}

} // namespace

LargeWorkReserver::LargeWorkReserver(const PlanInput &planInput, const PlacementRules &placementRules, Preemptor &workPreemptor)
    : input(planInput)
    , rules(placementRules)
    , preemptor(workPreemptor)
    , forecast(planInput, workPreemptor)
{
}

bool LargeWorkReserver::admit(const ReadyStep &ready, std::uint32_t tasks, ServicePool &pool)
{
    if (!pool.largeWorkBudget) {
        pool.largeWorkBudget = Capacity();
        for (const UpstreamCapacity *capacity : pool.capacities) {
            if (capacity->usable) {
                pool.largeWorkBudget->addShare(this->preemptor.reclaimableCapacity(ready, *capacity), 1.0);
            }
        }
    }
    if (pool.largeWorkBudget->countFitting(*ready.step, tasks) < tasks) {
        return false;
    }
    pool.largeWorkBudget->allocate(*ready.step, tasks);
    return true;
}

void LargeWorkReserver::giveBack(const ReadyStep &ready, std::uint32_t tasks, ServicePool &pool)
{
    pool.largeWorkBudget->release(*ready.step, tasks);
}

/// Whether the upstream could run the step if its capacity were free. Fast ones that must stay free for urgent work are left out: placement refuses them.
bool LargeWorkReserver::isReservable(const ReadyStep &ready, const ServicePool &pool, const UpstreamCapacity &capacity) const
{
    const auto needed = ready.step->gang ? static_cast<std::uint32_t>(ready.waiting.size()) : 1U;
    const bool advised = ready.queue->advice != nullptr;
    const StepAdvice &advice = this->input.advice.adviceFor(ready.key);
    const FastCapacity *kept = keptForUrgent(ready, pool, capacity);
    const bool allowed = (!advised || advice.allowed.count(capacity.upstream->number) > 0) && (kept == nullptr || kept->countFitting(ready, needed) == needed);
    const bool largeEnough = Capacity::totalOf(*capacity.upstream).countFitting(*ready.step, 1) > 0;
    return allowed && largeEnough && capacity.reservation == Reservation::None && this->rules.mayRunOn(ready, capacity)
        && this->rules.remainingTaskLimit(ready, capacity) > 0;
}

std::vector<LargeWorkReserver::Option> LargeWorkReserver::optionsFor(const ReadyStep &ready, const ServicePool &pool)
{
    const StepAdvice &advice = this->input.advice.adviceFor(ready.key);
    std::vector<Option> options;
    for (UpstreamCapacity *capacity : pool.capacities) {
        if (!this->isReservable(ready, pool, *capacity)) {
            continue;
        }
        Option option;
        option.preemptions = this->preemptor.preemptionCost(ready, *capacity).value_or(std::numeric_limits<std::size_t>::max());
        option.hasTicket = this->rules.hasRequiredTicket(ready, advice, *capacity) || isQueryPendingFor(advice, capacity->upstream->number);
        option.most = std::min(ready.step->tasks, this->rules.remainingTaskLimit(ready, *capacity));
        option.fittingTasks = this->preemptor.reclaimableCapacity(ready, *capacity).countFitting(*ready.step, option.most);
        option.capacity = capacity;
        options.push_back(option);
    }
    std::sort(options.begin(), options.end());
    return options;
}

LargeWorkReserver::Reserved LargeWorkReserver::reserve(const ReadyStep &ready, std::size_t tasks, const ServicePool &pool)
{
    std::vector<Option> options = this->optionsFor(ready, pool);
    std::size_t reclaimable = 0;
    std::size_t fittingWhenEmpty = 0;
    for (const Option &option : options) {
        reclaimable += option.fittingTasks;
        fittingWhenEmpty += Capacity::totalOf(*option.capacity->upstream).countFitting(*ready.step, option.most);
    }
    if (fittingWhenEmpty < tasks) {
        return {{}, WaitReason::Allowed};
    }
    const auto alreadyReserved = static_cast<std::size_t>(std::count_if(
        pool.capacities.begin(), pool.capacities.end(), [](const UpstreamCapacity *capacity) { return capacity->reservation != Reservation::None; }));
    const std::size_t maxReserved = std::max(pool.capacities.size() / ReservableUpstreamsDivisor, alreadyReserved == 0 ? tasks : 0);
    if (maxReserved <= alreadyReserved) {
        return {{}, WaitReason::ReservationLimit};
    }
    const std::size_t limit = maxReserved - alreadyReserved;
    return reclaimable >= tasks ? this->reserveExclusively(ready, tasks, std::move(options), limit, pool) : this->drain(ready, tasks, options, limit, pool);
}

LargeWorkReserver::Reserved
LargeWorkReserver::reserveExclusively(const ReadyStep &ready, std::size_t tasks, std::vector<Option> options, std::size_t limit, const ServicePool &pool)
{
    std::size_t covered = 0;
    std::size_t chosen = 0;
    while (chosen < options.size() && covered < tasks && chosen < limit) {
        covered += options[chosen].fittingTasks;
        ++chosen;
    }
    options.resize(chosen);
    Reservation reservation = this->mayHold(ready, MaxHold) ? Reservation::Exclusive : Reservation::None;
    if (reservation != Reservation::None && !this->mayHoldFree(pool)) {
        reservation = Reservation::AgainstGangs;
    }
    if (covered < tasks) {
        // Nothing can run there yet, so nothing is preempted; only what could be preempted later may start.
        for (const Option &option : options) {
            option.capacity->reservation = reservation == Reservation::Exclusive ? Reservation::Draining : Reservation::None;
            option.capacity->drainPriority = ready.queue->priority;
        }
        return {{}, WaitReason::ReservationLimit};
    }
    const StepAdvice &advice = this->input.advice.adviceFor(ready.key);
    const bool allTickets =
        std::all_of(options.begin(), options.end(), [&](const Option &option) { return this->rules.hasRequiredTicket(ready, advice, *option.capacity); });
    const WaitReason heldReason = allTickets ? WaitReason::Stops : WaitReason::Advice;
    // A step that yields asks for its tickets all the same, so that it starts as soon as there is room.
    return {this->reserveOn(ready, tasks, options, reservation), reservation == Reservation::None ? WaitReason::Yielding : heldReason};
}

/// Preempts only where the reservation keeps the freed capacity for the step.
std::vector<UpstreamCapacity *>
LargeWorkReserver::reserveOn(const ReadyStep &ready, std::size_t tasks, const std::vector<Option> &options, Reservation reservation)
{
    std::vector<UpstreamCapacity *> reserved;
    std::size_t covered = 0;
    for (const Option &option : options) {
        const bool mayPreempt = reservation == Reservation::Exclusive || (reservation == Reservation::AgainstGangs && option.preemptions == 0);
        for (std::uint32_t i = 0; mayPreempt && i < option.fittingTasks && covered < tasks; ++i) {
            covered += this->preemptor.preemptFor(ready, *option.capacity) ? 1 : 0;
        }
        option.capacity->reservation = reservation;
        reserved.push_back(option.capacity);
    }
    return reserved;
}

/// Closes the upstreams that have room for the tasks first. Work that ends before that may still start there, so that little stands idle.
LargeWorkReserver::Reserved
LargeWorkReserver::drain(const ReadyStep &ready, std::size_t tasks, const std::vector<Option> &options, std::size_t limit, const ServicePool &pool)
{
    std::vector<Opening> openings;
    for (const Option &option : options) {
        for (const milliseconds in : this->forecast.openings(ready, *option.capacity, option.most)) {
            openings.push_back({in, &option});
        }
    }
    if (openings.size() < tasks) {
        return {{}, WaitReason::Blocked};
    }
    // Where several have room at the same time, the order of the options remains.
    std::stable_sort(openings.begin(), openings.end(), [](const Opening &left, const Opening &right) { return left.in < right.in; });
    std::vector<UpstreamCapacity *> chosen;
    std::size_t covered = 0;
    milliseconds drainTime{0};
    for (const Opening &opening : openings) {
        UpstreamCapacity *capacity = opening.option->capacity;
        const bool isChosen = std::find(chosen.begin(), chosen.end(), capacity) != chosen.end();
        if (covered == tasks || (!isChosen && chosen.size() >= limit)) {
            continue;
        }
        if (!isChosen) {
            chosen.push_back(capacity);
        }
        ++covered;
        drainTime = std::max(drainTime, opening.in);
    }
    if (!this->mayHold(ready, DrainTimeFactor * drainTime + MaxHold) || !this->mayHoldFree(pool)) {
        return {{}, WaitReason::Yielding};
    }
    for (UpstreamCapacity *capacity : chosen) {
        capacity->reservation = Reservation::Draining;
        capacity->drainTime = drainTime;
        capacity->drainPriority = ready.queue->priority;
    }
    return {{}, covered < tasks ? WaitReason::ReservationLimit : WaitReason::Capacity};
}

bool LargeWorkReserver::mayHold(const ReadyStep &ready, milliseconds limit) const
{
    return this->input.holdTerms == nullptr || this->input.holdTerms->mayHold(ready.key, limit, this->input.now);
}

bool LargeWorkReserver::mayHoldFree(const ServicePool &pool) const
{
    return this->input.holdTerms == nullptr || !pool.isMostlyFree()
        || this->input.holdTerms->mayHold(pool.load.service, MaxHoldWhileMostlyFree, this->input.now);
}

bool LargeWorkReserver::Option::operator<(const Option &other) const
{
    return std::make_tuple(this->preemptions,
                           !this->hasTicket,
                           this->capacity->freeAfterStops.accelerators,
                           this->capacity->freeAfterStops.cpuMillis,
                           this->capacity->upstream->number)
        < std::make_tuple(other.preemptions,
                          !other.hasTicket,
                          other.capacity->freeAfterStops.accelerators,
                          other.capacity->freeAfterStops.cpuMillis,
                          other.capacity->upstream->number);
}

} // namespace cranberryreel::cell::planning
