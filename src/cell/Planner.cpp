#include "cell/Planner.h"

#include "cell/WaitingOrder.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace cranberryreel::cell
{

namespace
{

/// The share of the usable processor time that only work of priority 0 may take: its bursts come on top of a cell that is otherwise full.
constexpr double HeadroomForUrgent = 0.12;
/// A ticket must be good for the commit and the order after the plan.
constexpr std::chrono::milliseconds TicketSpare{60};
/// The advice service takes 100 upstreams a call; beyond so many a slow question costs more time than a second one.
constexpr std::size_t AskedAtOnce = 48;
/// Questions that take longer are slow ones; see AdvicePool.
constexpr std::chrono::milliseconds QuickQuestion{150};
/// One more upstream than needed is asked about for each so many, since some fill up before the tickets are used.
constexpr std::size_t SpareEvery = 4;

std::chrono::milliseconds questionTime(const wire::AdviceT &advice, std::size_t upstreams)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::microseconds(advice.decision_us + advice.per_upstream_us * upstreams));
}

/// A job stays in its submitter's zone where it can: a zone that is cut off then holds up its own jobs and hardly any other.
bool isElsewhere(const ReadyStep &ready, const Room &room)
{
    return room.upstream->zone != ready.job->spec->zone;
}

bool isUrgent(const ReadyStep &ready)
{
    return ready.queue != nullptr && ready.queue->priority == 0;
}

} // namespace

Planner::Planner(const PlanInput &planInput)
    : input(planInput)
    , rooms(planInput.state, planInput.lives, planInput.now)
    , freeCpu(rooms.freeCpuMillis())
{
}

Plan Planner::make()
{
    std::vector<ReadyStep> waiting = readySteps(this->input.state);
    WaitingOrder(this->input.acceptedAt, this->input.now).sort(waiting);
    for (const ReadyStep &ready : waiting) {
        const std::vector<std::uint32_t> unplaced = ready.step->gang ? this->placeGang(ready) : this->place(ready);
        (isUrgent(ready) ? this->plan.load.urgentWaiting : this->plan.load.otherWaiting) += unplaced.size();
        if (!unplaced.empty() && ready.queue != nullptr && ready.queue->advice) {
            this->wishAdvice(ready, static_cast<std::uint32_t>(unplaced.size()));
        }
    }
    this->plan.load.usableCpuMillis = this->rooms.usableCpuMillis();
    this->plan.load.freeCpuMillis = this->freeCpu;
    return std::move(this->plan);
}

bool Planner::mayRunOn(const ReadyStep &ready, const Room &room) const
{
    const std::string &service = ready.queue == nullptr ? ready.job->spec->service : ready.queue->service;
    const wire::StepT &step = *ready.step;
    const bool kept = !(step.filler && room.servers > 0) && !(servesUsers(step) && room.fillers > 0);
    return room.usable && kept && room.upstream->service == service && (step.label.empty() || room.hasLabel(step.label));
}

bool Planner::hasTicket(const ReadyStep &ready, const StepAdvice &advice, const Room &room) const
{
    if (ready.queue == nullptr || !ready.queue->advice) {
        return true;
    }
    const auto ticket = advice.allowed.find(room.upstream->number);
    return ticket != advice.allowed.end() && ticket->second.usableUntil > this->input.now + TicketSpare && ticket->second.life == room.life;
}

bool Planner::leavesHeadroom(const ReadyStep &ready) const
{
    if (isUrgent(ready)) {
        return true;
    }
    const auto kept = static_cast<std::int64_t>(HeadroomForUrgent * static_cast<double>(this->rooms.usableCpuMillis()));
    return this->freeCpu - static_cast<std::int64_t>(ready.step->cpu_millis) >= kept;
}

std::uint32_t Planner::runsOn(const ReadyStep &ready, std::uint64_t upstream) const
{
    std::uint32_t count = 0;
    for (const auto &task : ready.state->tasks) {
        for (const auto &run : task->runs) {
            count += run->upstream == upstream ? 1 : 0;
        }
    }
    const auto planned = this->plannedOn.find({ready.key, upstream});
    return count + (planned == this->plannedOn.end() ? 0 : planned->second);
}

std::uint32_t Planner::stillAllowed(const ReadyStep &ready, const Room &room) const
{
    const std::uint32_t most = ready.step->per_upstream;
    if (most == 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const std::uint32_t runs = this->runsOn(ready, room.upstream->number);
    return runs < most ? most - runs : 0;
}

/// The rack of the data; for tasks that belong together the rack where some run, or else the one with the most room for them.
std::string Planner::preferredRack(const ReadyStep &ready)
{
    const wire::StepT &step = *ready.step;
    if (!step.data_rack.empty() || !step.one_rack) {
        return step.data_rack;
    }
    const StepAdvice &advice = this->input.advice.of(ready.key);
    std::map<std::string, std::uint32_t> fitting;
    for (const Room &room : this->rooms.all()) {
        if (room.upstream->labels.empty()) {
            continue;
        }
        const std::string &rack = room.upstream->labels.back();
        if (this->runsOn(ready, room.upstream->number) > 0) {
            return rack;
        }
        if (this->mayRunOn(ready, room) && this->hasTicket(ready, advice, room)) {
            fitting[rack] += room.fits(step, step.tasks);
        }
    }
    const auto most = std::max_element(fitting.begin(), fitting.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == fitting.end() ? std::string() : most->first;
}

/// What is the same for all tasks of the step is looked up once: a burst places hundreds of tasks in one plan.
std::vector<Planner::Candidate> Planner::candidatesFor(const ReadyStep &ready)
{
    const std::string rack = this->preferredRack(ready);
    const StepAdvice &advice = this->input.advice.of(ready.key);
    std::vector<Candidate> candidates;
    for (Room &room : this->rooms.all()) {
        if (this->mayRunOn(ready, room) && room.fits(*ready.step, 1) > 0 && this->hasTicket(ready, advice, room)) {
            candidates.push_back({&room, !rack.empty() && !room.hasLabel(rack), isElsewhere(ready, room)});
        }
    }
    return candidates;
}

Room *Planner::bestRoom(const ReadyStep &ready, std::uint32_t task, const std::vector<Candidate> &candidates) const
{
    Room *best = nullptr;
    auto bestRank = std::make_tuple(true, true, true, 0, std::int64_t{0});
    const auto failed = this->input.failedAt.find({ready.key, task});
    for (const Candidate &candidate : candidates) {
        Room &room = *candidate.room;
        if (room.fits(*ready.step, 1) == 0 || this->stillAllowed(ready, room) == 0) {
            continue;
        }
        const bool failedHere = failed != this->input.failedAt.end() && failed->second.count(room.upstream->number) > 0;
        const auto rank = std::make_tuple(failedHere, candidate.offRack, candidate.elsewhere, room.failuresInRow, room.cpuMillis);
        if (best == nullptr || rank < bestRank) {
            best = &room;
            bestRank = rank;
        }
    }
    return best;
}

void Planner::start(const ReadyStep &ready, std::uint32_t task, std::uint32_t attempt, Room &room)
{
    room.take(*ready.step);
    this->freeCpu -= ready.step->cpu_millis;
    ++this->plannedOn[{ready.key, room.upstream->number}];
    this->plan.starts.push_back({{ready.key, task}, attempt, room.upstream->number});
}

std::vector<std::uint32_t> Planner::place(const ReadyStep &ready)
{
    if (!this->leavesHeadroom(ready)) {
        return ready.waiting;
    }
    const std::vector<Candidate> candidates = this->candidatesFor(ready);
    for (std::size_t i = 0; i < ready.waiting.size(); ++i) {
        const std::uint32_t task = ready.waiting[i];
        Room *room = this->leavesHeadroom(ready) ? this->bestRoom(ready, task, candidates) : nullptr;
        if (room == nullptr) {
            return {ready.waiting.begin() + static_cast<std::ptrdiff_t>(i), ready.waiting.end()};
        }
        this->start(ready, task, ready.state->tasks[task]->last_attempt + 1, *room);
    }
    return {};
}

std::vector<std::uint32_t> Planner::placeGang(const ReadyStep &ready)
{
    const std::vector<Candidate> candidates = this->candidatesFor(ready);
    std::uint32_t attempt = 0;
    for (const auto &task : ready.state->tasks) {
        attempt = std::max(attempt, task->last_attempt);
    }
    const std::size_t before = this->plan.starts.size();
    for (const std::uint32_t task : ready.waiting) {
        Room *room = this->leavesHeadroom(ready) ? this->bestRoom(ready, task, candidates) : nullptr;
        if (room != nullptr) {
            this->start(ready, task, attempt + 1, *room);
            continue;
        }
        for (std::size_t i = before; i < this->plan.starts.size(); ++i) {
            const std::uint64_t upstream = this->plan.starts[i].upstream;
            this->rooms.find(upstream)->giveBack(*ready.step);
            this->freeCpu += ready.step->cpu_millis;
            --this->plannedOn[{ready.key, upstream}];
        }
        this->plan.starts.resize(before);
        return ready.waiting;
    }
    return {};
}

void Planner::wishAdvice(const ReadyStep &ready, std::uint32_t unplaced)
{
    const StepAdvice &advice = this->input.advice.of(ready.key);
    if (advice.asking || advice.notBefore > this->input.now || !this->leavesHeadroom(ready)) {
        return;
    }
    std::vector<const Room *> stale;
    std::vector<const Room *> unknown;
    for (const Room &room : this->rooms.all()) {
        if (!this->mayRunOn(ready, room) || room.fits(*ready.step, 1) == 0 || this->stillAllowed(ready, room) == 0 || this->hasTicket(ready, advice, room)) {
            continue;
        }
        if (advice.allowed.count(room.upstream->number) > 0) {
            stale.push_back(&room);
        } else if (advice.known.count(room.upstream->number) == 0) {
            unknown.push_back(&room);
        }
    }
    const auto mostFree = [&ready](const Room *left, const Room *right) {
        return std::make_tuple(isElsewhere(ready, *left), -left->cpuMillis) < std::make_tuple(isElsewhere(ready, *right), -right->cpuMillis);
    };
    std::sort(stale.begin(), stale.end(), mostFree);
    std::sort(unknown.begin(), unknown.end(), mostFree);
    AdviceWish wish;
    wish.step = ready.key;
    std::uint32_t fitting = 0;
    for (const Room *room : stale) {
        if (fitting >= unplaced + unplaced / SpareEvery + 1) {
            break;
        }
        fitting += room->fits(*ready.step, std::min(unplaced, this->stillAllowed(ready, *room)));
        wish.upstreams.push_back(room->upstream->number);
    }
    for (std::size_t i = 0; fitting < unplaced && i < unknown.size() && wish.upstreams.size() < AskedAtOnce; ++i) {
        wish.upstreams.push_back(unknown[i]->upstream->number);
    }
    if (wish.upstreams.empty()) {
        return;
    }
    wish.expected = questionTime(*ready.queue->advice, wish.upstreams.size());
    wish.quick = wish.expected <= QuickQuestion;
    wish.valid = std::chrono::milliseconds(ready.queue->advice->valid_ms);
    this->plan.wishes.push_back(std::move(wish));
}

} // namespace cranberryreel::cell
