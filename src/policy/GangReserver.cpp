#include "policy/GangReserver.h"

#include <algorithm>
#include <limits>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::milliseconds RescanInterval{1000};
constexpr std::chrono::milliseconds SingleTaskRescanInterval{5000}; ///< For a reservation of one task.
constexpr VmIndex VmsPerScanSlice = 32; ///< VMs scanned in one call.
constexpr std::chrono::milliseconds RetryInterval{200};
constexpr std::chrono::seconds DefaultRemaining{600};
constexpr std::chrono::seconds MinRemaining{1};
/// A reservation lasts for this many times the expected wait, and so much longer.
constexpr int WaitFactor = 2;
constexpr std::chrono::seconds OverdueAllowance{10};

std::uint32_t countThatFit(const model::Resources &need, const model::Resources &freeCapacity, std::int64_t slots)
{
    std::int64_t count = std::max<std::int64_t>(0, slots);
    count = need.cpuMillis > 0 ? std::min(count, freeCapacity.cpuMillis / need.cpuMillis) : count;
    count = need.memoryMiB > 0 ? std::min(count, freeCapacity.memoryMiB / need.memoryMiB) : count;
    count = need.accelerators > 0 ? std::min(count, freeCapacity.accelerators / need.accelerators) : count;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, count));
}

/// Returns when a running task is expected to end. An overdue task is assumed to need another half of the time that it has run.
base::SteadyTime estimateEnd(const TaskEntry &task, base::SteadyTime now)
{
    if (task.expectedEnd == base::SteadyTime::max()) {
        return now + DefaultRemaining;
    }
    const auto overdueEnd = now + (now - task.startedAt) / 2;
    return std::max(task.expectedEnd > now ? task.expectedEnd : overdueEnd, now + MinRemaining);
}

} // namespace

bool GangReserver::startGang(JobIndex index, base::SteadyTime now)
{
    JobEntry &entry = this->zone.jobs.at(index);
    if (now < entry.nextGangTryAt || !taskDemand(entry.need).multipliedBy(entry.waiting).fitsIn(this->zone.ledger.freeCapacity())) {
        return false;
    }
    std::vector<PlannedTask> planned;
    std::vector<std::uint32_t> places;
    Ledger &ledger = this->zone.ledger;
    const auto releasePlanned = [&] {
        for (std::size_t i = planned.size(); i-- > 0;) {
            ledger.release(planned[i].vm, planned[i].upstream, entry.need, places[i]);
        }
    };
    for (std::uint32_t task = 0; task < entry.tasks.size(); ++task) {
        if (entry.tasks[task].phase != TaskPhase::Waiting) {
            continue;
        }
        VmIndex best = NoIndex;
        ledger.openVms(entry.service).visit(entry.need, {1, 1, false}, [&](VmIndex vm) {
            const bool fits = ledger.fits(vm, entry.service, entry.need);
            best = fits ? vm : best;
            return fits;
        });
        if (best == NoIndex) {
            releasePlanned();
            entry.nextGangTryAt = now + RetryInterval;
            return false;
        }
        const UpstreamIndex upstream = ledger.chooseUpstream(best, entry.service);
        places.push_back(ledger.reserve(best, upstream, entry.need, {index, task}));
        planned.push_back({best, upstream, task});
    }
    releasePlanned();
    for (const PlannedTask &plan : planned) {
        this->zone.start(index, plan.task, plan.vm, plan.upstream);
    }
    return true;
}

std::uint32_t GangReserver::requiredTasks() const
{
    const JobEntry &entry = this->zone.jobs.at(this->job);
    return entry.kind == model::JobKind::Gang ? entry.waiting : std::min<std::uint32_t>(1, entry.waiting);
}

std::uint32_t GangReserver::tasksThatFit(VmIndex index) const
{
    const JobEntry &entry = this->zone.jobs.at(this->job);
    const LedgerVm &vm = this->zone.ledger.vm(index);
    if (!vm.registered || vm.draining) {
        return 0;
    }
    std::int64_t slots = 0;
    for (const UpstreamIndex upstreamIndex : vm.upstreams) {
        const LedgerUpstream &upstream = this->zone.ledger.upstream(upstreamIndex);
        const bool serves = entry.service == Ledger::AnyService || upstream.service == entry.service;
        slots += serves && upstream.hasFreeSlot() ? upstream.openSlots() - upstream.usedSlots : 0;
    }
    return countThatFit(entry.need, vm.free(), slots);
}

void GangReserver::addCapacityEvent(const CapacityEvent &event)
{
    const std::uint32_t required = this->requiredTasks();
    if (this->earliestTasks >= required && this->earliestEvents.front() < event) {
        return;
    }
    this->earliestEvents.push_back(event);
    std::push_heap(this->earliestEvents.begin(), this->earliestEvents.end());
    this->earliestTasks += event.tasks;
    while (this->earliestTasks - this->earliestEvents.front().tasks >= required) {
        this->earliestTasks -= this->earliestEvents.front().tasks;
        std::pop_heap(this->earliestEvents.begin(), this->earliestEvents.end());
        this->earliestEvents.pop_back();
    }
}

void GangReserver::collectCapacityEvents(VmIndex index, base::SteadyTime now)
{
    const JobEntry &entry = this->zone.jobs.at(this->job);
    const LedgerVm &vm = this->zone.ledger.vm(index);
    const bool reservedForOther = vm.reservedFor != NoIndex && vm.reservedFor != this->job;
    if (!vm.registered || vm.draining || reservedForOther) {
        return;
    }
    model::Resources freeCapacity = vm.free();
    std::int64_t slots = 0;
    for (const UpstreamIndex upstreamIndex : vm.upstreams) {
        const LedgerUpstream &upstream = this->zone.ledger.upstream(upstreamIndex);
        const bool serves = upstream.accepting && (entry.service == Ledger::AnyService || upstream.service == entry.service);
        slots += serves ? std::int64_t{upstream.openSlots()} - upstream.usedSlots : 0;
    }
    std::uint32_t fitting = countThatFit(entry.need, freeCapacity, slots);
    if (fitting > 0) {
        this->addCapacityEvent({now, index, fitting});
    }
    std::vector<std::pair<base::SteadyTime, model::Resources>> ends;
    for (const TaskRef &ref : vm.tasks) {
        const JobEntry &other = this->zone.jobs.at(ref.job);
        if (other.kind != model::JobKind::Service) {
            ends.emplace_back(estimateEnd(other.tasks[ref.task], now), other.tasks[ref.task].reserved);
        }
    }
    std::sort(ends.begin(), ends.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    for (const auto &[at, freed] : ends) {
        freeCapacity += freed;
        ++slots;
        if (const std::uint32_t more = countThatFit(entry.need, freeCapacity, slots); more > fitting) {
            this->addCapacityEvent({at, index, more - fitting});
            fitting = more;
        }
    }
}

void GangReserver::beginScan()
{
    this->nextScannedVm = 0;
    this->earliestEvents.clear();
    this->earliestTasks = 0;
}

bool GangReserver::scanSlice(base::SteadyTime now)
{
    const auto count = static_cast<VmIndex>(this->zone.ledger.vmCount());
    const VmIndex end = std::min(count, this->nextScannedVm + VmsPerScanSlice);
    for (; this->nextScannedVm < end; ++this->nextScannedVm) {
        this->collectCapacityEvents(this->nextScannedVm, now);
    }
    if (this->nextScannedVm < count) {
        return true;
    }
    this->nextScannedVm = NoIndex;
    return this->chooseVms(now);
}

bool GangReserver::chooseVms(base::SteadyTime now)
{
    this->chosenAt = now;
    if (this->earliestTasks < this->requiredTasks()) {
        return false;
    }
    this->expectedStartAt = this->earliestEvents.front().at;
    if (this->reservedUntil == base::SteadyTime::max()) {
        this->reservedUntil = this->reservedSince + WaitFactor * (this->expectedStartAt - this->reservedSince) + OverdueAllowance;
    }
    absl::btree_map<VmIndex, std::uint32_t> chosen;
    for (const CapacityEvent &event : this->earliestEvents) {
        chosen[event.vm] = 0;
    }
    for (const auto &[vm, fits] : this->reservedVms) {
        if (!chosen.contains(vm)) {
            this->zone.ledger.releaseVm(vm);
        }
    }
    for (const auto &[vm, fits] : chosen) {
        if (this->zone.ledger.vm(vm).reservedFor != this->job) {
            this->zone.ledger.reserveVm(vm, this->job);
        }
    }
    this->reservedVms = std::move(chosen);
    this->countedVersion = 0;
    return true;
}

void GangReserver::reserve(JobIndex index, base::SteadyTime now)
{
    JobEntry &entry = this->zone.jobs.at(index);
    if (this->job != NoIndex || now < entry.nextReserveAt) {
        return;
    }
    entry.nextReserveAt = now + RescanInterval;
    this->zone.releaseReservedVm(entry);
    this->job = index;
    this->expectedStartAt = now;
    this->reservedSince = now;
    this->reservedUntil = base::SteadyTime::max();
    this->beginScan();
    if (!this->scanSlice(now)) {
        this->releaseReservation();
    }
}

void GangReserver::updateFitCounts()
{
    Ledger &ledger = this->zone.ledger;
    const auto update = [this](VmIndex vm, std::uint32_t &fits) {
        const std::uint32_t current = this->tasksThatFit(vm);
        this->totalFits += current;
        this->totalFits -= fits;
        fits = current;
    };
    const bool logIsComplete = this->countedVersion != 0 && ledger.visitChanges(this->countedVersion, [&](VmIndex vm) {
        if (const auto found = this->reservedVms.find(vm); found != this->reservedVms.end()) {
            update(vm, found->second);
        }
    });
    if (!logIsComplete) {
        this->totalFits = 0;
        for (auto &[vm, fits] : this->reservedVms) {
            fits = 0;
            update(vm, fits);
        }
    }
    this->countedVersion = ledger.version();
}

void GangReserver::capacityTaken(VmIndex vm)
{
    if (const auto found = this->reservedVms.find(vm); found != this->reservedVms.end() && this->countedVersion != 0) {
        const std::uint32_t current = this->tasksThatFit(vm);
        this->totalFits += current;
        this->totalFits -= found->second;
        found->second = current;
    }
}

bool GangReserver::advance(base::SteadyTime now)
{
    if (this->job == NoIndex) {
        return false;
    }
    if (this->requiredTasks() == 0) {
        this->releaseReservation();
        return false;
    }
    this->updateFitCounts();
    if (this->totalFits >= this->requiredTasks()) {
        this->countedVersion = 0; // Free capacity may have shrunk since the last count; recount everything before starting.
        this->updateFitCounts();
    }
    if (this->totalFits >= this->requiredTasks()) {
        this->startOnReservedVms();
        return true;
    }
    if (now >= this->reservedUntil) {
        this->yieldReservation(now);
        return false;
    }
    const auto interval = this->zone.jobs.at(this->job).kind == model::JobKind::Gang ? RescanInterval : SingleTaskRescanInterval;
    if (this->nextScannedVm == NoIndex && now - this->chosenAt >= interval) {
        this->beginScan();
    }
    if (this->nextScannedVm != NoIndex && now != this->lastScanAt) {
        this->lastScanAt = now;
        if (!this->scanSlice(now)) {
            this->releaseReservation();
        }
    }
    return false;
}

void GangReserver::startOnReservedVms()
{
    const JobIndex index = this->job;
    JobEntry &entry = this->zone.jobs.at(index);
    std::uint32_t remaining = this->requiredTasks();
    for (const auto &[vm, fits] : this->reservedVms) {
        while (remaining > 0 && this->zone.ledger.fits(vm, entry.service, entry.need)) {
            this->zone.start(index, JobTable::nextWaitingTask(entry), vm, this->zone.ledger.chooseUpstream(vm, entry.service));
            --remaining;
        }
    }
    this->releaseReservation();
}

void GangReserver::cancelReservation(JobIndex index)
{
    if (this->job == index) {
        this->releaseReservation();
    }
}

/// Work that the reservation kept out goes first for as long as it lasted.
void GangReserver::yieldReservation(base::SteadyTime now)
{
    this->zone.jobs.at(this->job).nextReserveAt = now + (now - this->reservedSince);
    this->releaseReservation();
}

void GangReserver::releaseReservation()
{
    for (const auto &[vm, fits] : this->reservedVms) {
        this->zone.ledger.releaseVm(vm);
    }
    this->reservedVms.clear();
    this->nextScannedVm = NoIndex;
    this->job = NoIndex;
    this->countedVersion = 0;
    this->totalFits = 0;
}

} // namespace cranberryreel::policy
