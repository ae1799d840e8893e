#include "policy/Ledger.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace cranberryreel::policy
{

namespace
{

/// A job that names no service may use any upstream; one that names a service only upstreams of that service.
bool serves(const LedgerUpstream &upstream, ServiceIndex service)
{
    return service == Ledger::AnyService || upstream.service == service;
}

std::tuple<std::int64_t, std::int64_t, std::int64_t> keyOf(const model::Resources &capacity)
{
    return {capacity.cpuMillis, capacity.memoryMiB, capacity.accelerators};
}

} // namespace

ServiceIndex Ledger::service(const std::string &name)
{
    const auto [found, isNew] = this->serviceByName.try_emplace(name, static_cast<ServiceIndex>(this->services.size()));
    if (isNew) {
        this->services.emplace_back();
    }
    return found->second;
}

VmIndex Ledger::vmIndex(const std::string &name)
{
    const auto [found, isNew] = this->vmByName.try_emplace(name, static_cast<VmIndex>(this->vms.size()));
    if (isNew) {
        this->vms.emplace_back();
        this->vms.back().name = name;
        this->counted.emplace_back();
    }
    return found->second;
}

void Ledger::count(CapacityCounts &counts, const CapacityKey &key, int sign)
{
    auto &number = counts[key];
    number += static_cast<std::uint32_t>(sign);
    if (number == 0) {
        counts.erase(key);
    }
}

VmIndex Ledger::setVm(const VmView &view)
{
    const VmIndex index = this->vmIndex(view.vm);
    LedgerVm &vm = this->vms[index];
    if (vm.known) {
        count(this->capacities, keyOf(vm.capacity), -1);
    }
    const auto [rack, isNew] = this->rackByName.try_emplace(view.rack, static_cast<std::uint32_t>(this->rackNames.size()));
    if (isNew) {
        this->rackNames.push_back(view.rack);
    }
    vm.rack = rack->second;
    vm.capacity = view.capacity;
    vm.draining = view.draining;
    vm.known = true;
    count(this->capacities, keyOf(vm.capacity), 1);
    this->recount(index);
    this->roomGrew(index);
    return index;
}

VmIndex Ledger::removeVm(const std::string &name)
{
    const auto found = this->vmByName.find(name);
    if (found == this->vmByName.end() || !this->vms[found->second].known) {
        return NoIndex;
    }
    LedgerVm &vm = this->vms[found->second];
    count(this->capacities, keyOf(vm.capacity), -1);
    vm.known = false;
    vm.capacity = {};
    this->recount(found->second);
    this->reindex(found->second);
    return found->second;
}

UpstreamIndex Ledger::setUpstream(const UpstreamView &view)
{
    const auto [found, isNew] = this->upstreamById.try_emplace(view.id, static_cast<UpstreamIndex>(this->upstreams.size()));
    const UpstreamIndex index = found->second;
    if (isNew) {
        this->upstreams.emplace_back();
    }
    const VmIndex vm = this->vmIndex(view.vm);
    const ServiceIndex service = this->service(view.service);
    LedgerUpstream &upstream = this->upstreams[index];
    const VmIndex vmBefore = upstream.vm;
    if (vmBefore != NoIndex && (vmBefore != vm || upstream.service != service)) {
        this->services[upstream.service].open.remove(vmBefore);
        this->services[upstream.service].held.remove(vmBefore);
        auto &list = this->vms[vmBefore].upstreams;
        list.erase(std::remove(list.begin(), list.end(), index), list.end());
        this->recount(vmBefore);
        this->reindex(vmBefore);
    }
    if (auto &list = this->vms[vm].upstreams; std::find(list.begin(), list.end(), index) == list.end()) {
        list.push_back(index);
    }
    upstream.id = view.id;
    upstream.vm = vm;
    upstream.service = service;
    upstream.slots = view.slots;
    upstream.accepting = view.accepting;
    this->recount(vm);
    this->roomGrew(vm);
    return index;
}

void Ledger::removeUpstream(const std::string &id)
{
    if (const auto found = this->upstreamById.find(id); found != this->upstreamById.end()) {
        LedgerUpstream &upstream = this->upstreams[found->second];
        upstream.accepting = false;
        upstream.slots = 0;
        this->recount(upstream.vm);
        this->reindex(upstream.vm);
    }
}

UpstreamIndex Ledger::findUpstream(const std::string &id) const
{
    const auto found = this->upstreamById.find(id);
    return found == this->upstreamById.end() ? NoIndex : found->second;
}

void Ledger::setSlotLimit(UpstreamIndex index, std::uint32_t limit)
{
    LedgerUpstream &upstream = this->upstreams[index];
    if (upstream.slotLimit == limit) {
        return;
    }
    upstream.slotLimit = limit;
    this->roomGrew(upstream.vm);
}

std::uint32_t Ledger::add(VmIndex vmIndex, UpstreamIndex upstream, const model::Resources &size, TaskRef task)
{
    LedgerVm &vm = this->vms[vmIndex];
    vm.reserved += size;
    ++this->upstreams[upstream].usedSlots;
    this->reservedTotal += taskDemand(size);
    vm.tasks.push_back(task);
    this->reindex(vmIndex);
    return static_cast<std::uint32_t>(vm.tasks.size() - 1);
}

std::uint32_t Ledger::reserve(VmIndex vm, UpstreamIndex upstream, const model::Resources &size, TaskRef task)
{
    assert(size.fitsIn(this->vms[vm].free()));
    assert(this->upstreams[upstream].vm == vm && this->upstreams[upstream].hasRoom());
    return this->add(vm, upstream, size, task);
}

std::uint32_t Ledger::adopt(VmIndex vm, UpstreamIndex upstream, const model::Resources &size, TaskRef task)
{
    return this->add(vm, upstream, size, task);
}

TaskRef Ledger::release(VmIndex vmIndex, UpstreamIndex upstream, const model::Resources &size, std::uint32_t place)
{
    LedgerVm &vm = this->vms[vmIndex];
    assert(place < vm.tasks.size() && this->upstreams[upstream].usedSlots > 0);
    vm.reserved -= size;
    --this->upstreams[upstream].usedSlots;
    this->reservedTotal -= taskDemand(size);
    const bool moves = place + 1 < vm.tasks.size();
    vm.tasks[place] = vm.tasks.back();
    vm.tasks.pop_back();
    this->roomGrew(vmIndex);
    return moves ? vm.tasks[place] : TaskRef{};
}

bool Ledger::grow(VmIndex vmIndex, const model::Resources &from, const model::Resources &to)
{
    LedgerVm &vm = this->vms[vmIndex];
    if (!(to - from).fitsIn(vm.free())) {
        return false;
    }
    vm.reserved += to - from;
    this->reservedTotal.resources += to - from;
    this->reindex(vmIndex);
    return true;
}

void Ledger::hold(VmIndex vm, JobIndex job)
{
    this->vms[vm].heldBy = job;
    this->reindex(vm);
}

void Ledger::releaseHold(VmIndex vm)
{
    this->vms[vm].heldBy = NoIndex;
    this->roomGrew(vm);
}

bool Ledger::offers(const LedgerVm &vm, ServiceIndex service) const
{
    return vm.known && !vm.draining && std::any_of(vm.upstreams.begin(), vm.upstreams.end(), [&](UpstreamIndex upstream) {
               return serves(this->upstreams[upstream], service) && this->upstreams[upstream].hasRoom();
           });
}

bool Ledger::fits(VmIndex index, ServiceIndex service, const model::Resources &need) const
{
    const LedgerVm &vm = this->vms[index];
    return need.fitsIn(vm.free()) && this->offers(vm, service);
}

UpstreamIndex Ledger::chooseUpstream(VmIndex vm, ServiceIndex service) const
{
    UpstreamIndex best = NoIndex;
    std::pair<bool, std::uint32_t> bestScore{false, 0};
    for (const UpstreamIndex index : this->vms[vm].upstreams) {
        const LedgerUpstream &upstream = this->upstreams[index];
        if (!serves(upstream, service) || !upstream.hasRoom()) {
            continue;
        }
        const std::pair<bool, std::uint32_t> score{upstream.service == service, upstream.openSlots() - upstream.usedSlots};
        if (best == NoIndex || score > bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

const PlacementIndex &Ledger::open(ServiceIndex service) const
{
    return this->services[service].open;
}

const PlacementIndex &Ledger::held(ServiceIndex service) const
{
    return this->services[service].held;
}

bool Ledger::mayFitSince(std::uint64_t version, ServiceIndex service, const model::Resources &need) const
{
    if (this->roomVersion - version > ChangeLogSize) {
        return true;
    }
    for (std::uint64_t at = version; at < this->roomVersion; ++at) {
        if (this->fits(this->changeLog[at % ChangeLogSize], service, need)) {
            return true;
        }
    }
    return false;
}

std::uint64_t Ledger::holds(const CapacityCounts &counts, const model::Resources &need, std::uint64_t most)
{
    std::uint64_t held = 0;
    for (const auto &[capacity, number] : counts) {
        const auto &[cpu, memory, accelerators] = capacity;
        std::int64_t each = std::numeric_limits<std::int32_t>::max();
        each = need.cpuMillis > 0 ? std::min(each, cpu / need.cpuMillis) : each;
        each = need.memoryMiB > 0 ? std::min(each, memory / need.memoryMiB) : each;
        each = need.accelerators > 0 ? std::min(each, accelerators / need.accelerators) : each;
        held += static_cast<std::uint64_t>(each) * number;
        if (held >= most) {
            return most;
        }
    }
    return held;
}

std::uint64_t Ledger::everHolds(const model::Resources &need, std::uint64_t most) const
{
    return holds(this->capacities, need, most);
}

std::uint64_t Ledger::everHolds(ServiceIndex service, const model::Resources &need, std::uint64_t most) const
{
    return holds(this->services[service].capacities, need, most);
}

void Ledger::roomGrew(VmIndex vm)
{
    this->changeLog[this->roomVersion % ChangeLogSize] = vm;
    ++this->roomVersion;
    this->reindex(vm);
}

void Ledger::recount(VmIndex index)
{
    const LedgerVm &vm = this->vms[index];
    Counted &before = this->counted[index];
    for (const ServiceIndex service : before.services) {
        count(this->services[service].capacities, before.capacity, -1);
    }
    this->openTotal -= before.open;
    this->openReserved -= before.reserved;
    before = {{}, {}, keyOf(vm.capacity), {}};
    if (!vm.known) {
        return;
    }
    for (const UpstreamIndex upstreamIndex : vm.upstreams) {
        const LedgerUpstream &upstream = this->upstreams[upstreamIndex];
        if (upstream.slots == 0) {
            continue;
        }
        for (const ServiceIndex service : {AnyService, upstream.service}) {
            if (std::find(before.services.begin(), before.services.end(), service) == before.services.end()) {
                before.services.push_back(service);
                count(this->services[service].capacities, before.capacity, 1);
            }
        }
        before.open.slots += upstream.accepting && !vm.draining ? upstream.slots : 0;
    }
    before.open.resources = before.open.slots > 0 ? vm.capacity : model::Resources{};
    this->openTotal += before.open;
}

void Ledger::reindex(VmIndex index)
{
    const LedgerVm &vm = this->vms[index];
    Counted &sums = this->counted[index];
    this->openReserved -= sums.reserved;
    sums.reserved = sums.open.slots > 0 ? Demand{vm.reserved, static_cast<std::int64_t>(vm.tasks.size())} : Demand{};
    this->openReserved += sums.reserved;
    const VmRoom room{vm.free(), vm.capacity.accelerators > 0, vm.tasks.empty()};
    const auto place = [&](ServiceIndex service) {
        auto &indexes = this->services[service];
        const bool offered = this->offers(vm, service);
        if (offered && vm.heldBy == NoIndex) {
            indexes.open.put(index, room);
        } else {
            indexes.open.remove(index);
        }
        if (offered && vm.heldBy != NoIndex) {
            indexes.held.put(index, room);
        } else {
            indexes.held.remove(index);
        }
    };
    place(AnyService);
    for (const UpstreamIndex upstream : vm.upstreams) {
        if (this->upstreams[upstream].service != AnyService) {
            place(this->upstreams[upstream].service);
        }
    }
}

} // namespace cranberryreel::policy
