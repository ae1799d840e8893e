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

std::tuple<std::int64_t, std::int64_t, std::int64_t> capacityKey(const model::Resources &capacity)
{
    return {capacity.cpuMillis, capacity.memoryMiB, capacity.accelerators};
}

} // namespace

ServiceIndex Ledger::findOrAddService(const std::string &name)
{
    const auto [found, isNew] = this->serviceByName.try_emplace(name, static_cast<ServiceIndex>(this->services.size()));
    if (isNew) {
        this->services.emplace_back();
    }
    return found->second;
}

VmIndex Ledger::findOrAddVm(const std::string &name)
{
    const auto [found, isNew] = this->vmByName.try_emplace(name, static_cast<VmIndex>(this->vms.size()));
    if (isNew) {
        this->vms.emplace_back();
        this->vms.back().name = name;
        this->contributions.emplace_back();
    }
    return found->second;
}

void Ledger::adjustCount(CapacityCounts &counts, const CapacityKey &key, int sign)
{
    auto &numberOfVms = counts[key];
    numberOfVms += static_cast<std::uint32_t>(sign);
    if (numberOfVms == 0) {
        counts.erase(key);
    }
}

VmIndex Ledger::setVm(const VmView &view)
{
    const VmIndex index = this->findOrAddVm(view.vm);
    LedgerVm &vm = this->vms[index];
    if (vm.registered) {
        adjustCount(this->capacities, capacityKey(vm.capacity), -1);
    }
    const auto [rack, isNew] = this->rackByName.try_emplace(view.rack, static_cast<std::uint32_t>(this->rackNames.size()));
    if (isNew) {
        this->rackNames.push_back(view.rack);
    }
    vm.rack = rack->second;
    vm.capacity = view.capacity;
    vm.draining = view.draining;
    vm.registered = true;
    adjustCount(this->capacities, capacityKey(vm.capacity), 1);
    this->updateContribution(index);
    this->capacityGrew(index);
    return index;
}

VmIndex Ledger::removeVm(const std::string &name)
{
    const auto found = this->vmByName.find(name);
    if (found == this->vmByName.end() || !this->vms[found->second].registered) {
        return NoIndex;
    }
    LedgerVm &vm = this->vms[found->second];
    adjustCount(this->capacities, capacityKey(vm.capacity), -1);
    vm.registered = false;
    vm.capacity = {};
    this->updateContribution(found->second);
    this->updateIndexes(found->second);
    return found->second;
}

UpstreamIndex Ledger::setUpstream(const UpstreamView &view)
{
    const auto [found, isNew] = this->upstreamById.try_emplace(view.id, static_cast<UpstreamIndex>(this->upstreams.size()));
    const UpstreamIndex index = found->second;
    if (isNew) {
        this->upstreams.emplace_back();
    }
    const VmIndex vm = this->findOrAddVm(view.vm);
    const ServiceIndex service = this->findOrAddService(view.service);
    LedgerUpstream &upstream = this->upstreams[index];
    const VmIndex vmBefore = upstream.vm;
    if (vmBefore != NoIndex && (vmBefore != vm || upstream.service != service)) {
        this->services[upstream.service].openVms.remove(vmBefore);
        this->services[upstream.service].reservedVms.remove(vmBefore);
        auto &list = this->vms[vmBefore].upstreams;
        list.erase(std::remove(list.begin(), list.end(), index), list.end());
        this->updateContribution(vmBefore);
        this->updateIndexes(vmBefore);
    }
    if (auto &list = this->vms[vm].upstreams; std::find(list.begin(), list.end(), index) == list.end()) {
        list.push_back(index);
    }
    upstream.id = view.id;
    upstream.vm = vm;
    upstream.service = service;
    upstream.slots = view.slots;
    upstream.accepting = view.accepting;
    this->updateContribution(vm);
    this->capacityGrew(vm);
    return index;
}

void Ledger::removeUpstream(const std::string &id)
{
    if (const auto found = this->upstreamById.find(id); found != this->upstreamById.end()) {
        LedgerUpstream &upstream = this->upstreams[found->second];
        upstream.accepting = false;
        upstream.slots = 0;
        this->updateContribution(upstream.vm);
        this->updateIndexes(upstream.vm);
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
    this->capacityGrew(upstream.vm);
}

std::uint32_t Ledger::addReservation(VmIndex vmIndex, UpstreamIndex upstream, const model::Resources &size, TaskRef task)
{
    LedgerVm &vm = this->vms[vmIndex];
    vm.reserved += size;
    ++this->upstreams[upstream].usedSlots;
    this->reservedTotal += taskDemand(size);
    vm.tasks.push_back(task);
    this->updateIndexes(vmIndex);
    return static_cast<std::uint32_t>(vm.tasks.size() - 1);
}

std::uint32_t Ledger::reserve(VmIndex vm, UpstreamIndex upstream, const model::Resources &size, TaskRef task)
{
    assert(size.fitsIn(this->vms[vm].free()));
    assert(this->upstreams[upstream].vm == vm && this->upstreams[upstream].hasFreeSlot());
    return this->addReservation(vm, upstream, size, task);
}

std::uint32_t Ledger::adopt(VmIndex vm, UpstreamIndex upstream, const model::Resources &size, TaskRef task)
{
    return this->addReservation(vm, upstream, size, task);
}

TaskRef Ledger::release(VmIndex vmIndex, UpstreamIndex upstream, const model::Resources &size, std::uint32_t indexOnVm)
{
    LedgerVm &vm = this->vms[vmIndex];
    assert(indexOnVm < vm.tasks.size() && this->upstreams[upstream].usedSlots > 0);
    vm.reserved -= size;
    --this->upstreams[upstream].usedSlots;
    this->reservedTotal -= taskDemand(size);
    const bool movesLast = indexOnVm + 1 < vm.tasks.size();
    vm.tasks[indexOnVm] = vm.tasks.back();
    vm.tasks.pop_back();
    this->capacityGrew(vmIndex);
    return movesLast ? vm.tasks[indexOnVm] : TaskRef{};
}

bool Ledger::grow(VmIndex vmIndex, const model::Resources &from, const model::Resources &to)
{
    LedgerVm &vm = this->vms[vmIndex];
    if (!(to - from).fitsIn(vm.free())) {
        return false;
    }
    vm.reserved += to - from;
    this->reservedTotal.resources += to - from;
    this->updateIndexes(vmIndex);
    return true;
}

void Ledger::reserveVm(VmIndex vm, JobIndex job)
{
    this->vms[vm].reservedFor = job;
    this->updateIndexes(vm);
}

void Ledger::releaseVm(VmIndex vm)
{
    this->vms[vm].reservedFor = NoIndex;
    this->capacityGrew(vm);
}

bool Ledger::hasFreeSlotFor(const LedgerVm &vm, ServiceIndex service) const
{
    return vm.registered && !vm.draining && std::any_of(vm.upstreams.begin(), vm.upstreams.end(), [&](UpstreamIndex upstream) {
               return serves(this->upstreams[upstream], service) && this->upstreams[upstream].hasFreeSlot();
           });
}

bool Ledger::fits(VmIndex index, ServiceIndex service, const model::Resources &need) const
{
    const LedgerVm &vm = this->vms[index];
    return need.fitsIn(vm.free()) && this->hasFreeSlotFor(vm, service);
}

UpstreamIndex Ledger::chooseUpstream(VmIndex vm, ServiceIndex service) const
{
    UpstreamIndex best = NoIndex;
    std::pair<bool, std::uint32_t> bestScore{false, 0};
    for (const UpstreamIndex index : this->vms[vm].upstreams) {
        const LedgerUpstream &upstream = this->upstreams[index];
        if (!serves(upstream, service) || !upstream.hasFreeSlot()) {
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

const PlacementIndex &Ledger::openVms(ServiceIndex service) const
{
    return this->services[service].openVms;
}

const PlacementIndex &Ledger::reservedVms(ServiceIndex service) const
{
    return this->services[service].reservedVms;
}

bool Ledger::mayFitSince(std::uint64_t version, ServiceIndex service, const model::Resources &need) const
{
    if (this->capacityVersion - version > ChangeLogSize) {
        return true;
    }
    for (std::uint64_t entry = version; entry < this->capacityVersion; ++entry) {
        if (this->fits(this->changeLog[entry % ChangeLogSize], service, need)) {
            return true;
        }
    }
    return false;
}

std::uint64_t Ledger::countFitting(const CapacityCounts &counts, const model::Resources &need, std::uint64_t limit)
{
    std::uint64_t fitting = 0;
    for (const auto &[capacity, numberOfVms] : counts) {
        const auto &[cpu, memory, accelerators] = capacity;
        std::int64_t perVm = std::numeric_limits<std::int32_t>::max();
        perVm = need.cpuMillis > 0 ? std::min(perVm, cpu / need.cpuMillis) : perVm;
        perVm = need.memoryMiB > 0 ? std::min(perVm, memory / need.memoryMiB) : perVm;
        perVm = need.accelerators > 0 ? std::min(perVm, accelerators / need.accelerators) : perVm;
        fitting += static_cast<std::uint64_t>(perVm) * numberOfVms;
        if (fitting >= limit) {
            return limit;
        }
    }
    return fitting;
}

std::uint64_t Ledger::countFittingEmpty(const model::Resources &need, std::uint64_t limit) const
{
    return countFitting(this->capacities, need, limit);
}

std::uint64_t Ledger::countFittingEmpty(ServiceIndex service, const model::Resources &need, std::uint64_t limit) const
{
    return countFitting(this->services[service].capacities, need, limit);
}

void Ledger::capacityGrew(VmIndex vm)
{
    this->changeLog[this->capacityVersion % ChangeLogSize] = vm;
    ++this->capacityVersion;
    this->updateIndexes(vm);
}

void Ledger::updateContribution(VmIndex index)
{
    const LedgerVm &vm = this->vms[index];
    VmContribution &contribution = this->contributions[index];
    for (const ServiceIndex service : contribution.services) {
        adjustCount(this->services[service].capacities, contribution.capacity, -1);
    }
    this->openTotal -= contribution.openCapacity;
    this->openReserved -= contribution.reserved;
    contribution = {{}, {}, capacityKey(vm.capacity), {}};
    if (!vm.registered) {
        return;
    }
    for (const UpstreamIndex upstreamIndex : vm.upstreams) {
        const LedgerUpstream &upstream = this->upstreams[upstreamIndex];
        if (upstream.slots == 0) {
            continue;
        }
        for (const ServiceIndex service : {AnyService, upstream.service}) {
            if (std::find(contribution.services.begin(), contribution.services.end(), service) == contribution.services.end()) {
                contribution.services.push_back(service);
                adjustCount(this->services[service].capacities, contribution.capacity, 1);
            }
        }
        contribution.openCapacity.slots += upstream.accepting && !vm.draining ? upstream.slots : 0;
    }
    contribution.openCapacity.resources = contribution.openCapacity.slots > 0 ? vm.capacity : model::Resources{};
    this->openTotal += contribution.openCapacity;
}

void Ledger::updateIndexes(VmIndex index)
{
    const LedgerVm &vm = this->vms[index];
    VmContribution &contribution = this->contributions[index];
    this->openReserved -= contribution.reserved;
    contribution.reserved = contribution.openCapacity.slots > 0 ? Demand{vm.reserved, static_cast<std::int64_t>(vm.tasks.size())} : Demand{};
    this->openReserved += contribution.reserved;
    const VmFreeCapacity freeCapacity{vm.free(), vm.capacity.accelerators > 0, vm.tasks.empty()};
    const auto updateService = [&](ServiceIndex service) {
        auto &placement = this->services[service];
        const bool isServing = this->hasFreeSlotFor(vm, service);
        if (isServing && vm.reservedFor == NoIndex) {
            placement.openVms.put(index, freeCapacity);
        } else {
            placement.openVms.remove(index);
        }
        if (isServing && vm.reservedFor != NoIndex) {
            placement.reservedVms.put(index, freeCapacity);
        } else {
            placement.reservedVms.remove(index);
        }
    };
    updateService(AnyService);
    for (const UpstreamIndex upstream : vm.upstreams) {
        if (this->upstreams[upstream].service != AnyService) {
            updateService(this->upstreams[upstream].service);
        }
    }
}

} // namespace cranberryreel::policy
