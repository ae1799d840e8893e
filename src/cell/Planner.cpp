#include "cell/Planner.h"

#include "cell/WaitingOrder.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

/// Of the upstreams of a service, one in so many is held for gangs at most, or as many as the first gang needs: what is held stands idle until enough is free.
constexpr std::size_t HeldAtMostOneIn = 4;

} // namespace

Planner::Planner(const PlanInput &planInput)
    : input(planInput)
    , rooms(planInput.state, planInput.lives, planInput.now)
    , pools(servicePools(planInput.state, rooms))
    , rules(planInput)
    , preemptor(planInput, rooms)
    , questions(planInput, rules, preemptor)
{
}

Plan Planner::make()
{
    std::vector<ReadyStep> waiting = readySteps(this->input.state);
    WaitingOrder(this->input.acceptedAt, this->input.now).sort(waiting);
    for (const ReadyStep &ready : waiting) {
        this->questions.pledgeForAnswer(ready, this->pools[serviceOf(ready)], this->rooms);
    }
    for (const ReadyStep &ready : waiting) {
        ServicePool &pool = this->pools[serviceOf(ready)];
        const std::vector<std::uint32_t> unplaced = ready.step->gang ? this->placeGang(ready, pool) : this->place(ready, pool);
        (isUrgent(ready) ? pool.load.urgentWaiting : pool.load.otherWaiting) += unplaced.size();
        if (unplaced.empty() || ready.queue == nullptr) {
            continue;
        }
        if (ready.step->gang && !this->gangHasItsTurn(ready, pool)) {
            continue;
        }
        const std::vector<Room *> claimed = ready.step->gang ? this->claimRooms(ready, pool) : std::vector<Room *>();
        if (ready.queue->advice) {
            if (auto wish = this->questions.question(ready, static_cast<std::uint32_t>(unplaced.size()), pool, claimed)) {
                this->plan.wishes.push_back(std::move(*wish));
            }
        }
    }
    this->plan.stops = this->preemptor.takeStops();
    for (auto &[service, pool] : this->pools) {
        this->plan.loads.push_back(pool.load);
    }
    return std::move(this->plan);
}

/// The rack of the data; for tasks that belong together the rack where some run, or else the one with the most room for them.
std::string Planner::preferredRack(const ReadyStep &ready, const ServicePool &pool)
{
    const wire::StepT &step = *ready.step;
    if (!step.data_rack.empty() || !step.one_rack) {
        return step.data_rack;
    }
    const StepAdvice &advice = this->input.advice.of(ready.key);
    std::map<std::string, std::uint32_t> fitting;
    for (const Room *room : pool.rooms) {
        if (room->upstream->labels.empty()) {
            continue;
        }
        const std::string &rack = room->upstream->labels.back();
        if (this->rules.runsOn(ready, room->upstream->number) > 0) {
            return rack;
        }
        if (this->rules.mayRunOn(ready, *room) && this->rules.hasTicket(ready, advice, *room)) {
            fitting[rack] += room->free.fits(step, step.tasks);
        }
    }
    const auto most = std::max_element(fitting.begin(), fitting.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == fitting.end() ? std::string() : most->first;
}

/// What is the same for all tasks of the step is looked up once: a burst places hundreds of tasks in one plan.
std::vector<Planner::Candidate> Planner::candidatesFor(const ReadyStep &ready, ServicePool &pool)
{
    const std::string rack = this->preferredRack(ready, pool);
    const StepAdvice &advice = this->input.advice.of(ready.key);
    std::vector<Candidate> candidates;
    const auto consider = [&](Room &room) {
        if (this->rules.mayRunOn(ready, room) && room.free.fits(*ready.step, 1) > 0 && this->rules.hasTicket(ready, advice, room)) {
            candidates.push_back({&room, !rack.empty() && !room.hasLabel(rack), isElsewhere(ready, room)});
        }
    };
    if (ready.queue == nullptr || !ready.queue->advice) {
        for (Room *room : pool.rooms) {
            consider(*room);
        }
        return candidates;
    }
    for (const auto &[upstream, ticket] : advice.allowed) {
        if (Room *room = this->rooms.find(upstream); room != nullptr && room->upstream->service == pool.load.service) {
            consider(*room);
        }
    }
    return candidates;
}

Room *Planner::bestRoom(const ReadyStep &ready, std::uint32_t task, const std::vector<Candidate> &candidates) const
{
    Room *best = nullptr;
    auto bestRank = std::make_tuple(true, true, true, 0, std::int64_t{0}, std::int64_t{0});
    const auto failed = this->input.failedAt.find({ready.key, task});
    for (const Candidate &candidate : candidates) {
        Room &room = *candidate.room;
        if (room.free.fits(*ready.step, 1) == 0 || this->rules.stillAllowed(ready, room) == 0) {
            continue;
        }
        const bool failedHere = failed != this->input.failedAt.end() && failed->second.count(room.upstream->number) > 0;
        const auto rank = std::make_tuple(failedHere, candidate.offRack, candidate.elsewhere, room.failuresInRow, room.free.accelerators, room.free.cpuMillis);
        if (best == nullptr || rank < bestRank) {
            best = &room;
            bestRank = rank;
        }
    }
    return best;
}

void Planner::start(const ReadyStep &ready, std::uint32_t task, std::uint32_t attempt, Room &room, ServicePool &pool)
{
    room.take(*ready.step);
    pool.load.free.take(*ready.step);
    pool.unpledged.take(*ready.step);
    this->rules.planned(ready.key, room.upstream->number);
    this->plan.starts.push_back({{ready.key, task}, attempt, room.upstream->number});
}

void Planner::takeBack(const ReadyStep &ready, std::size_t before, ServicePool &pool)
{
    for (std::size_t i = before; i < this->plan.starts.size(); ++i) {
        const std::uint64_t upstream = this->plan.starts[i].upstream;
        this->rooms.find(upstream)->giveBack(*ready.step);
        pool.load.free.giveBack(*ready.step);
        pool.unpledged.giveBack(*ready.step);
        this->rules.takenBack(ready.key, upstream);
    }
    this->plan.starts.resize(before);
}

std::vector<std::uint32_t> Planner::place(const ReadyStep &ready, ServicePool &pool)
{
    if (!leavesHeadroom(ready, pool)) {
        return ready.waiting;
    }
    const std::vector<Candidate> candidates = this->candidatesFor(ready, pool);
    for (std::size_t i = 0; i < ready.waiting.size(); ++i) {
        const std::uint32_t task = ready.waiting[i];
        Room *room = leavesHeadroom(ready, pool) ? this->bestRoom(ready, task, candidates) : nullptr;
        if (room == nullptr) {
            return {ready.waiting.begin() + static_cast<std::ptrdiff_t>(i), ready.waiting.end()};
        }
        this->start(ready, task, ready.state->tasks[task]->last_attempt + 1, *room, pool);
    }
    return {};
}

std::vector<std::uint32_t> Planner::placeGang(const ReadyStep &ready, ServicePool &pool)
{
    const std::vector<Candidate> candidates = this->candidatesFor(ready, pool);
    std::uint32_t attempt = 0;
    for (const auto &task : ready.state->tasks) {
        attempt = std::max(attempt, task->last_attempt);
    }
    const std::size_t before = this->plan.starts.size();
    for (const std::uint32_t task : ready.waiting) {
        Room *room = leavesHeadroom(ready, pool) ? this->bestRoom(ready, task, candidates) : nullptr;
        if (room == nullptr) {
            this->takeBack(ready, before, pool);
            return ready.waiting;
        }
        this->start(ready, task, attempt + 1, *room, pool);
    }
    return {};
}

/// Those that could run the step if they had room.
std::vector<Room *> Planner::claimableRooms(const ReadyStep &ready, const ServicePool &pool) const
{
    const bool advised = ready.queue->advice != nullptr;
    const StepAdvice &advice = this->input.advice.of(ready.key);
    std::vector<Room *> claimable;
    for (Room *room : pool.rooms) {
        const bool allowed = !advised || advice.allowed.count(room->upstream->number) > 0;
        const bool large = Capacity::of(*room->upstream).fits(*ready.step, 1) > 0;
        if (allowed && large && this->rules.mayRunOn(ready, *room) && this->rules.stillAllowed(ready, *room) > 0) {
            claimable.push_back(room);
        }
    }
    return claimable;
}

/// Gangs that wait claim and ask only as far as the service could hold all of them at once: what is later in the order would find nothing left.
bool Planner::gangHasItsTurn(const ReadyStep &ready, ServicePool &pool)
{
    if (!pool.forGangs) {
        pool.forGangs = Capacity();
        for (const Room *room : pool.rooms) {
            if (room->usable) {
                pool.forGangs->add(this->preemptor.reachable(ready, *room), 1.0);
            }
        }
    }
    const auto tasks = static_cast<std::uint32_t>(ready.waiting.size());
    if (pool.forGangs->fits(*ready.step, tasks) < tasks) {
        return false;
    }
    pool.forGangs->take(*ready.step, tasks);
    return true;
}

/// The upstreams that this gang is to have: those where the fewest runs must give way; nothing else starts there. Where all that could give way would not do,
/// some are kept from work that would not give way later. Returns the claimed ones when they will do.
std::vector<Room *> Planner::claimRooms(const ReadyStep &ready, ServicePool &pool)
{
    const std::size_t tasks = ready.waiting.size();
    const StepAdvice &advice = this->input.advice.of(ready.key);
    std::vector<Claim> claims;
    std::size_t reachable = 0;
    std::size_t atBest = 0;
    for (Room *room : this->claimableRooms(ready, pool)) {
        const std::uint32_t most = std::min(ready.step->tasks, this->rules.stillAllowed(ready, *room));
        const std::uint32_t here = std::min(most, this->preemptor.reachable(ready, *room).fits(*ready.step, most));
        const bool ticketed = this->rules.hasTicket(ready, advice, *room);
        claims.push_back({this->preemptor.cost(ready, *room).value_or(std::numeric_limits<std::size_t>::max()), ticketed, here, room});
        reachable += here;
        atBest += Capacity::of(*room->upstream).fits(*ready.step, most);
    }
    const auto held = static_cast<std::size_t>(std::count_if(pool.rooms.begin(), pool.rooms.end(), [](const Room *room) { return room->hold != Hold::None; }));
    const std::size_t holdable = std::max(pool.rooms.size() / HeldAtMostOneIn, held == 0 ? tasks : 0);
    if (atBest < tasks || holdable <= held) {
        return {};
    }
    std::sort(claims.begin(), claims.end());
    const bool coverable = reachable >= tasks;
    std::size_t covered = 0;
    std::size_t chosen = 0;
    while (chosen < claims.size() && covered < tasks && held + chosen < holdable) {
        covered += coverable ? claims[chosen].here : 1;
        ++chosen;
    }
    claims.resize(chosen);
    if (!coverable || covered < tasks) {
        for (const Claim &claim : claims) {
            claim.room->hold = Hold::ForWhatGivesWay;
        }
        return {};
    }
    return this->takeClaims(ready, claims);
}

std::vector<Room *> Planner::takeClaims(const ReadyStep &ready, const std::vector<Claim> &claims)
{
    std::vector<Room *> claimed;
    std::size_t covered = 0;
    for (const Claim &claim : claims) {
        for (std::uint32_t i = 0; i < claim.here && covered < ready.waiting.size(); ++i) {
            covered += this->preemptor.makeRoom(ready, *claim.room) ? 1 : 0;
        }
        claim.room->hold = Hold::ForAll;
        claimed.push_back(claim.room);
    }
    return claimed;
}

bool Planner::Claim::operator<(const Claim &other) const
{
    return std::make_tuple(this->cost, !this->ticketed, this->room->expected.accelerators, this->room->expected.cpuMillis, this->room->upstream->number)
        < std::make_tuple(other.cost, !other.ticketed, other.room->expected.accelerators, other.room->expected.cpuMillis, other.room->upstream->number);
}

} // namespace cranberryreel::cell
