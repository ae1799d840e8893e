#include "policy/GangReserver.h"

#include <algorithm>
#include <limits>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::milliseconds RechooseInterval{1000};
constexpr std::chrono::milliseconds RechooseSingleInterval{5000}; ///< For a reservation of one task.
constexpr VmIndex VmsPerSlice = 32; ///< Looked at in one call.
constexpr std::chrono::milliseconds RetryInterval{200};
constexpr std::chrono::seconds UnknownRemaining{600};
constexpr std::chrono::seconds LeastRemaining{1};

std::uint32_t times(const model::Resources &need, const model::Resources &room, std::int64_t slots)
{
    std::int64_t count = std::max<std::int64_t>(0, slots);
    count = need.cpuMillis > 0 ? std::min(count, room.cpuMillis / need.cpuMillis) : count;
    count = need.memoryMiB > 0 ? std::min(count, room.memoryMiB / need.memoryMiB) : count;
    count = need.accelerators > 0 ? std::min(count, room.accelerators / need.accelerators) : count;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, count));
}

/// When a running task is expected to be gone; overdue ones are taken to need half as long again as they have run.
base::SteadyTime expectedGone(const TaskEntry &task, base::SteadyTime now)
{
    if (task.expectedEnd == base::SteadyTime::max()) {
        return now + UnknownRemaining;
    }
    const auto overdueEnd = now + (now - task.startedAt) / 2;
    return std::max(task.expectedEnd > now ? task.expectedEnd : overdueEnd, now + LeastRemaining);
}

} // namespace

bool GangReserver::startWhole(JobIndex index, base::SteadyTime now)
{
    JobEntry &entry = this->zone.jobs.at(index);
    if (now < entry.nextGangTryAt || !taskDemand(entry.need).times(entry.waiting).fitsIn(this->zone.ledger.room())) {
        return false;
    }
    std::vector<Planned> planned;
    std::vector<std::uint32_t> places;
    Ledger &ledger = this->zone.ledger;
    const auto undo = [&] {
        for (std::size_t i = planned.size(); i-- > 0;) {
            ledger.release(planned[i].vm, planned[i].upstream, entry.need, places[i]);
        }
    };
    for (std::uint32_t task = 0; task < entry.tasks.size(); ++task) {
        if (entry.tasks[task].phase != TaskPhase::Waiting) {
            continue;
        }
        VmIndex best = NoIndex;
        ledger.open(entry.service).visit(entry.need, {1, 1, false}, [&](VmIndex vm) {
            const bool fits = ledger.fits(vm, entry.service, entry.need);
            best = fits ? vm : best;
            return fits;
        });
        if (best == NoIndex) {
            undo();
            entry.nextGangTryAt = now + RetryInterval;
            return false;
        }
        const UpstreamIndex upstream = ledger.chooseUpstream(best, entry.service);
        places.push_back(ledger.reserve(best, upstream, entry.need, {index, task}));
        planned.push_back({best, upstream, task});
    }
    undo();
    for (const Planned &plan : planned) {
        this->zone.start(index, plan.task, plan.vm, plan.upstream);
    }
    return true;
}

std::uint32_t GangReserver::wanted() const
{
    const JobEntry &entry = this->zone.jobs.at(this->job);
    return entry.kind == model::JobKind::Gang ? entry.waiting : std::min<std::uint32_t>(1, entry.waiting);
}

std::uint32_t GangReserver::fitting(VmIndex index) const
{
    const JobEntry &entry = this->zone.jobs.at(this->job);
    const LedgerVm &vm = this->zone.ledger.vm(index);
    if (!vm.known || vm.draining) {
        return 0;
    }
    std::int64_t slots = 0;
    for (const UpstreamIndex upstreamIndex : vm.upstreams) {
        const LedgerUpstream &upstream = this->zone.ledger.upstream(upstreamIndex);
        const bool serves = entry.service == Ledger::AnyService || upstream.service == entry.service;
        slots += serves && upstream.hasRoom() ? upstream.openSlots() - upstream.usedSlots : 0;
    }
    return times(entry.need, vm.free(), slots);
}

void GangReserver::addEvent(const RoomEvent &event)
{
    const std::uint32_t enough = this->wanted();
    if (this->earliestTasks >= enough && this->earliest.front() < event) {
        return;
    }
    this->earliest.push_back(event);
    std::push_heap(this->earliest.begin(), this->earliest.end());
    this->earliestTasks += event.tasks;
    while (this->earliestTasks - this->earliest.front().tasks >= enough) {
        this->earliestTasks -= this->earliest.front().tasks;
        std::pop_heap(this->earliest.begin(), this->earliest.end());
        this->earliest.pop_back();
    }
}

void GangReserver::roomEvents(VmIndex index, base::SteadyTime now)
{
    const JobEntry &entry = this->zone.jobs.at(this->job);
    const LedgerVm &vm = this->zone.ledger.vm(index);
    const bool heldByOther = vm.heldBy != NoIndex && vm.heldBy != this->job;
    if (!vm.known || vm.draining || heldByOther) {
        return;
    }
    model::Resources room = vm.free();
    std::int64_t slots = 0;
    for (const UpstreamIndex upstreamIndex : vm.upstreams) {
        const LedgerUpstream &upstream = this->zone.ledger.upstream(upstreamIndex);
        const bool serves = upstream.accepting && (entry.service == Ledger::AnyService || upstream.service == entry.service);
        slots += serves ? std::int64_t{upstream.openSlots()} - upstream.usedSlots : 0;
    }
    std::uint32_t fit = times(entry.need, room, slots);
    if (fit > 0) {
        this->addEvent({now, index, fit});
    }
    std::vector<std::pair<base::SteadyTime, model::Resources>> ends;
    for (const TaskRef &ref : vm.tasks) {
        const JobEntry &other = this->zone.jobs.at(ref.job);
        if (other.kind != model::JobKind::Service) {
            ends.emplace_back(expectedGone(other.tasks[ref.task], now), other.tasks[ref.task].reserved);
        }
    }
    std::sort(ends.begin(), ends.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    for (const auto &[at, freed] : ends) {
        room += freed;
        ++slots;
        if (const std::uint32_t more = times(entry.need, room, slots); more > fit) {
            this->addEvent({at, index, more - fit});
            fit = more;
        }
    }
}

void GangReserver::beginSweep()
{
    this->sweptTo = 0;
    this->earliest.clear();
    this->earliestTasks = 0;
}

bool GangReserver::sweep(base::SteadyTime now)
{
    const auto count = static_cast<VmIndex>(this->zone.ledger.vmCount());
    const VmIndex end = std::min(count, this->sweptTo + VmsPerSlice);
    for (; this->sweptTo < end; ++this->sweptTo) {
        this->roomEvents(this->sweptTo, now);
    }
    if (this->sweptTo < count) {
        return true;
    }
    this->sweptTo = NoIndex;
    return this->choose(now);
}

bool GangReserver::choose(base::SteadyTime now)
{
    this->chosenAt = now;
    if (this->earliestTasks < this->wanted()) {
        return false;
    }
    this->needed = this->earliest.front().at;
    absl::btree_map<VmIndex, std::uint32_t> chosen;
    for (const RoomEvent &event : this->earliest) {
        chosen[event.vm] = 0;
    }
    for (const auto &[vm, fits] : this->held) {
        if (!chosen.contains(vm)) {
            this->zone.ledger.releaseHold(vm);
        }
    }
    for (const auto &[vm, fits] : chosen) {
        if (this->zone.ledger.vm(vm).heldBy != this->job) {
            this->zone.ledger.hold(vm, this->job);
        }
    }
    this->held = std::move(chosen);
    this->seenVersion = 0;
    return true;
}

void GangReserver::reserve(JobIndex index, base::SteadyTime now)
{
    JobEntry &entry = this->zone.jobs.at(index);
    if (this->job != NoIndex || now < entry.nextReserveAt) {
        return;
    }
    entry.nextReserveAt = now + RechooseInterval;
    this->zone.dropHold(entry);
    this->job = index;
    this->needed = now;
    this->beginSweep();
    if (!this->sweep(now)) {
        this->releaseAll();
    }
}

void GangReserver::updateFits()
{
    Ledger &ledger = this->zone.ledger;
    const auto update = [this](VmIndex vm, std::uint32_t &fits) {
        const std::uint32_t now = this->fitting(vm);
        this->fitsTotal += now;
        this->fitsTotal -= fits;
        fits = now;
    };
    const bool known = this->seenVersion != 0 && ledger.visitChanges(this->seenVersion, [&](VmIndex vm) {
        if (const auto found = this->held.find(vm); found != this->held.end()) {
            update(vm, found->second);
        }
    });
    if (!known) {
        this->fitsTotal = 0;
        for (auto &[vm, fits] : this->held) {
            fits = 0;
            update(vm, fits);
        }
    }
    this->seenVersion = ledger.version();
}

void GangReserver::roomTaken(VmIndex vm)
{
    if (const auto found = this->held.find(vm); found != this->held.end() && this->seenVersion != 0) {
        const std::uint32_t now = this->fitting(vm);
        this->fitsTotal += now;
        this->fitsTotal -= found->second;
        found->second = now;
    }
}

bool GangReserver::advance(base::SteadyTime now)
{
    if (this->job == NoIndex) {
        return false;
    }
    if (this->wanted() == 0) {
        this->releaseAll();
        return false;
    }
    this->updateFits();
    if (this->fitsTotal >= this->wanted()) {
        this->seenVersion = 0; // Room may have shrunk since; count it whole before starting.
        this->updateFits();
    }
    if (this->fitsTotal >= this->wanted()) {
        this->startOnHeld();
        return true;
    }
    const auto interval = this->zone.jobs.at(this->job).kind == model::JobKind::Gang ? RechooseInterval : RechooseSingleInterval;
    if (this->sweptTo == NoIndex && now - this->chosenAt >= interval) {
        this->beginSweep();
    }
    if (this->sweptTo != NoIndex && now != this->sweptAt) {
        this->sweptAt = now;
        if (!this->sweep(now)) {
            this->releaseAll();
        }
    }
    return false;
}

void GangReserver::startOnHeld()
{
    const JobIndex index = this->job;
    JobEntry &entry = this->zone.jobs.at(index);
    std::uint32_t missing = this->wanted();
    for (const auto &[vm, fits] : this->held) {
        while (missing > 0 && this->zone.ledger.fits(vm, entry.service, entry.need)) {
            this->zone.start(index, JobTable::nextWaiting(entry), vm, this->zone.ledger.chooseUpstream(vm, entry.service));
            --missing;
        }
    }
    this->releaseAll();
}

void GangReserver::drop(JobIndex index)
{
    if (this->job == index) {
        this->releaseAll();
    }
}

void GangReserver::releaseAll()
{
    for (const auto &[vm, fits] : this->held) {
        this->zone.ledger.releaseHold(vm);
    }
    this->held.clear();
    this->sweptTo = NoIndex;
    this->job = NoIndex;
    this->seenVersion = 0;
    this->fitsTotal = 0;
}

} // namespace cranberryreel::policy
