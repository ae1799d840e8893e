#include "cell/QuestionPlanner.h"

#include <algorithm>
#include <tuple>

namespace cranberryreel::cell
{

namespace
{

/// The advice service takes 100 upstreams a call; beyond so many a slow question costs more time than a second one.
constexpr std::size_t AskedAtOnce = 48;
/// A gang starts only with all its tickets, and a second question would come after the first: it may name as many as the service takes.
constexpr std::size_t AskedAtOnceForGang = 100;
/// Questions that take longer are slow ones; see AdvicePool.
constexpr std::chrono::milliseconds QuickQuestion{150};
/// One more upstream than needed is asked about for each so many, since some fill up before the tickets are used.
constexpr std::uint32_t SpareEvery = 4;
/// Names beyond the likely need cost at most this share of what the question costs without any: a second question would cost all of that again.
constexpr double ShareForSpareNames = 0.1;
/// The same for upstreams that have no room yet.
constexpr double ShareForFullNames = 0.25;
/// A gang needs all its tickets at once, so that more are asked for.
constexpr double GangMargin = 1.5;
/// Names beyond the likely need, at most.
constexpr double SpareNamesAtMost = 8;

std::chrono::milliseconds questionTime(const wire::AdviceT &advice, std::size_t upstreams)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::microseconds(advice.decision_us + advice.per_upstream_us * upstreams));
}

std::size_t spareNames(const wire::AdviceT &advice)
{
    if (advice.per_upstream_us == 0) {
        return static_cast<std::size_t>(SpareNamesAtMost);
    }
    const double worth = ShareForSpareNames * static_cast<double>(advice.decision_us) / static_cast<double>(advice.per_upstream_us);
    return static_cast<std::size_t>(std::clamp(worth, 1.0, SpareNamesAtMost));
}

/// Work on accelerators fills upstreams that are in use already, so that others stay whole for what needs a whole one; other work goes to the emptiest.
auto preference(const ReadyStep &ready, const Room &room)
{
    const bool packs = ready.step->accelerators > 0;
    const std::int64_t accelerators = packs ? room.unpledged.accelerators : -room.unpledged.accelerators;
    return std::make_tuple(isElsewhere(ready, room), accelerators, packs ? room.unpledged.cpuMillis : -room.unpledged.cpuMillis);
}

} // namespace

QuestionPlanner::QuestionPlanner(const PlanInput &planInput, const PlacementRules &placementRules, Preemptor &roomMaker)
    : input(planInput)
    , rules(placementRules)
    , preemptor(roomMaker)
{
}

void QuestionPlanner::pledgeForAnswer(const ReadyStep &ready, ServicePool &pool, RoomTable &rooms) const
{
    const StepAdvice &advice = this->input.advice.of(ready.key);
    if (!advice.asking || advice.askedAbout.empty()) {
        return;
    }
    pool.unpledged.take(*ready.step, advice.askedFor);
    for (const std::uint64_t upstream : advice.askedAbout) {
        if (Room *room = rooms.find(upstream)) {
            room->unpledged.takePart(*ready.step, advice.askedFor, advice.askedAbout.size());
        }
    }
}

std::optional<AdviceWish> QuestionPlanner::question(const ReadyStep &ready, std::uint32_t unplaced, ServicePool &pool, const std::vector<Room *> &claimed) const
{
    const StepAdvice &advice = this->input.advice.of(ready.key);
    if (advice.asking || advice.notBefore > this->input.now) {
        return std::nullopt;
    }
    if (ready.step->gang) {
        const std::vector<Room *> chosen = this->chooseForGang(ready, pool, claimed);
        return chosen.empty() ? std::nullopt : std::optional<AdviceWish>(this->wishFor(ready, unplaced, chosen, Need::Now));
    }
    if (!leavesHeadroom(ready, pool)) {
        return std::nullopt;
    }
    Capacity unpledged = pool.unpledged;
    unpledged.cpuMillis -= isUrgent(ready) ? 0 : pool.headroomMillis();
    std::uint32_t tasks = unpledged.fits(*ready.step, unplaced);
    std::vector<Room *> chosen;
    if (tasks > 0) {
        chosen = this->chooseRooms(ready, tasks, pool, [](const Room &room) { return room.unpledged; });
    }
    if (chosen.empty()) {
        chosen = this->chooseRooms(ready, unplaced, pool, [](const Room &room) { return room.free; });
        return chosen.empty() ? std::nullopt : std::optional<AdviceWish>(this->wishFor(ready, unplaced, chosen, Need::Ahead));
    }
    pool.unpledged.take(*ready.step, tasks);
    for (Room *room : chosen) {
        room->unpledged.takePart(*ready.step, tasks, chosen.size());
    }
    return this->wishFor(ready, tasks, chosen, Need::Now);
}

AdviceWish QuestionPlanner::wishFor(const ReadyStep &ready, std::uint32_t tasks, const std::vector<Room *> &chosen, Need need) const
{
    AdviceWish wish;
    wish.step = ready.key;
    wish.queue = ready.queue->name;
    wish.tasks = tasks;
    wish.need = need;
    for (const Room *room : chosen) {
        wish.upstreams.push_back(room->upstream->number);
    }
    wish.expected = questionTime(*ready.queue->advice, wish.upstreams.size());
    wish.quick = wish.expected <= QuickQuestion;
    wish.valid = std::chrono::milliseconds(ready.queue->advice->valid_ms);
    return wish;
}

QuestionPlanner::Sorted QuestionPlanner::sort(const ReadyStep &ready, std::uint32_t tasks, const ServicePool &pool, const RoomFor &roomFor) const
{
    const StepAdvice &advice = this->input.advice.of(ready.key);
    Sorted sorted;
    for (Room *room : pool.rooms) {
        const std::uint32_t here = this->rules.mayRunOn(ready, *room) ? this->rules.stillAllowed(ready, *room) : 0;
        if (here == 0) {
            continue;
        }
        const bool allowed = advice.allowed.count(room->upstream->number) > 0;
        sorted.allowed += allowed && Capacity::of(*room->upstream).fits(*ready.step, 1) > 0 ? 1 : 0;
        const std::uint32_t fitting = roomFor(*room).fits(*ready.step, std::min(tasks, here));
        if (fitting == 0) {
            const bool worthKnowing = advice.known.count(room->upstream->number) == 0 && Capacity::of(*room->upstream).fits(*ready.step, 1) > 0;
            if (worthKnowing || (allowed && !this->rules.hasTicket(ready, advice, *room))) {
                sorted.full.push_back(room);
            }
            continue;
        }
        if (allowed && this->rules.hasTicket(ready, advice, *room)) {
            sorted.fittingTicketed += fitting;
        } else if (allowed) {
            sorted.stale.push_back(room);
        } else if (advice.known.count(room->upstream->number) == 0) {
            sorted.unknown.push_back(room);
        }
    }
    const auto preferred = [&ready](const Room *left, const Room *right) { return preference(ready, *left) < preference(ready, *right); };
    std::sort(sorted.stale.begin(), sorted.stale.end(), preferred);
    std::sort(sorted.unknown.begin(), sorted.unknown.end(), preferred);
    // Allowed ones first.
    std::stable_partition(sorted.full.begin(), sorted.full.end(), [&advice](const Room *room) { return advice.allowed.count(room->upstream->number) > 0; });
    return sorted;
}

std::vector<Room *> QuestionPlanner::chooseRooms(const ReadyStep &ready, std::uint32_t tasks, const ServicePool &pool, const RoomFor &roomFor) const
{
    const Sorted sorted = this->sort(ready, tasks, pool, roomFor);
    std::vector<Room *> chosen;
    std::uint32_t fitting = sorted.fittingTicketed;
    for (Room *room : sorted.stale) {
        if (fitting >= tasks + tasks / SpareEvery + 1 || chosen.size() >= AskedAtOnce) {
            break;
        }
        fitting += roomFor(*room).fits(*ready.step, std::min(tasks, this->rules.stillAllowed(ready, *room)));
        chosen.push_back(room);
    }
    if (fitting < tasks) {
        this->addUnknown(ready, tasks - fitting, sorted, roomFor, chosen);
    }
    if (!chosen.empty()) {
        this->addFull(ready, sorted, chosen);
    }
    return chosen;
}

/// While tickets can be used, room comes up elsewhere as well: upstreams without room are named beside the others where that costs little.
void QuestionPlanner::addFull(const ReadyStep &ready, const Sorted &sorted, std::vector<Room *> &chosen) const
{
    const wire::AdviceT &costs = *ready.queue->advice;
    const double worth = ShareForFullNames * static_cast<double>(costs.decision_us) / static_cast<double>(std::max<std::uint64_t>(costs.per_upstream_us, 1));
    const auto most = static_cast<std::size_t>(std::min(worth, static_cast<double>(AskedAtOnce)));
    for (std::size_t i = 0; i < sorted.full.size() && i < most && chosen.size() < AskedAtOnce; ++i) {
        chosen.push_back(sorted.full[i]);
    }
}

/// Where its rooms are claimed, fresh tickets for them; else, which further upstreams are allowed, when enough may be or too few are known to be.
std::vector<Room *> QuestionPlanner::chooseForGang(const ReadyStep &ready, const ServicePool &pool, const std::vector<Room *> &claimed) const
{
    const StepAdvice &advice = this->input.advice.of(ready.key);
    std::vector<Room *> chosen;
    for (Room *room : claimed) {
        if (!this->rules.hasTicket(ready, advice, *room) && chosen.size() < AskedAtOnceForGang) {
            chosen.push_back(room);
        }
    }
    if (!claimed.empty()) {
        return chosen;
    }
    const auto tasks = static_cast<std::uint32_t>(ready.waiting.size());
    const RoomFor reachable = [this, &ready](const Room &room) { return this->preemptor.reachable(ready, room); };
    const Sorted now = this->sort(ready, tasks, pool, reachable);
    double expected = 0;
    for (const Room *room : now.unknown) {
        expected += this->input.advice.shares.of(ready.queue->name) * reachable(*room).fits(*ready.step, tasks);
    }
    if (expected >= tasks) {
        this->addUnknown(ready, tasks, now, reachable, chosen);
    } else if (now.allowed < static_cast<std::size_t>(GangMargin * tasks) + 1) {
        const RoomFor whole = [](const Room &room) { return Capacity::of(*room.upstream); };
        this->addUnknown(ready, tasks, this->sort(ready, tasks, pool, whole), whole, chosen);
    }
    return chosen;
}

void QuestionPlanner::addUnknown(const ReadyStep &ready, std::uint32_t tasks, const Sorted &sorted, const RoomFor &roomFor, std::vector<Room *> &chosen) const
{
    const double share = this->input.advice.shares.of(ready.queue->name);
    const double needed = (ready.step->gang ? GangMargin : 1.0) * tasks;
    double expected = 0;
    std::size_t spare = spareNames(*ready.queue->advice);
    const std::size_t most = ready.step->gang ? AskedAtOnceForGang : AskedAtOnce;
    for (Room *room : sorted.unknown) {
        if (chosen.size() >= most || (expected >= needed && spare == 0)) {
            return;
        }
        spare -= expected >= needed ? 1 : 0;
        expected += share * roomFor(*room).fits(*ready.step, std::min(tasks, this->rules.stillAllowed(ready, *room)));
        chosen.push_back(room);
    }
}

} // namespace cranberryreel::cell
