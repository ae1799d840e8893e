#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Demand.h"
#include "policy/Ids.h"
#include "policy/PlacementIndex.h"
#include "policy/Planner.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace cranberryreel::policy
{

/// Identifies one task of one job.
struct TaskRef {
    JobIndex job = NoIndex;
    std::uint32_t task = 0;
};

/// An upstream's slots in the ledger.
struct LedgerUpstream {
    std::string id;
    VmIndex vm = NoIndex;
    ServiceIndex service = 0;
    std::uint32_t slots = 0;
    std::uint32_t slotLimit = UINT32_MAX; ///< Limit set by UpstreamHealth; may be below `slots`.
    std::uint32_t usedSlots = 0;
    bool accepting = false;

    std::uint32_t openSlots() const
    {
        return std::min(this->slots, this->slotLimit);
    }

    bool hasFreeSlot() const
    {
        return this->accepting && this->usedSlots < this->openSlots();
    }
};

/// A VM's capacity and reservations in the ledger.
struct LedgerVm {
    std::string name;
    std::uint32_t rack = 0;
    model::Resources capacity;
    model::Resources reserved;
    bool draining = false;
    bool registered = false; ///< Whether the register lists the VM.
    JobIndex reservedFor = NoIndex; ///< The job that the VM is reserved for; other work may use it only by backfill. NoIndex if it is not reserved.
    std::vector<UpstreamIndex> upstreams;
    std::vector<TaskRef> tasks; ///< Tasks with a reservation on the VM.

    model::Resources free() const
    {
        return this->capacity - this->reserved;
    }
};

/// The capacity of a zone and the reservations on it, per VM and upstream slot. reserve() asserts that a reservation exceeds neither. Owned by ZoneState; used
/// by the planner's thread only.
class Ledger
{
public:
    static constexpr ServiceIndex AnyService = 0;

    ServiceIndex findOrAddService(const std::string &name);
    VmIndex setVm(const VmView &view);
    VmIndex removeVm(const std::string &name);
    UpstreamIndex setUpstream(const UpstreamView &view);
    void removeUpstream(const std::string &id);
    UpstreamIndex findUpstream(const std::string &id) const;
    void setSlotLimit(UpstreamIndex upstream, std::uint32_t limit);

    /// Reserves capacity and a slot for a task; returns the task's index in the VM's list of tasks.
    std::uint32_t reserve(VmIndex vm, UpstreamIndex upstream, const model::Resources &size, TaskRef task);

    /// Like reserve(), for a task that already runs: it counts even if it exceeds the capacity.
    std::uint32_t adopt(VmIndex vm, UpstreamIndex upstream, const model::Resources &size, TaskRef task);

    /// Releases a reservation; returns the task that moved to the freed index of the VM's list, with job NoIndex if none did.
    TaskRef release(VmIndex vm, UpstreamIndex upstream, const model::Resources &size, std::uint32_t indexOnVm);

    /// Raises a running task's reservation if the VM has the free capacity; returns whether it did.
    bool grow(VmIndex vm, const model::Resources &from, const model::Resources &to);

    void reserveVm(VmIndex vm, JobIndex job);
    void releaseVm(VmIndex vm);

    /// Whether a task of this size and service could start on the VM now, disregarding VM reservations.
    bool fits(VmIndex vm, ServiceIndex service, const model::Resources &need) const;

    /// Returns the VM's upstream that should run the task; NoIndex if none can.
    UpstreamIndex chooseUpstream(VmIndex vm, ServiceIndex service) const;

    /// VMs with a free slot of the service: those that are not reserved, and those that are.
    const PlacementIndex &openVms(ServiceIndex service) const;
    const PlacementIndex &reservedVms(ServiceIndex service) const;

    /// Whether capacity for `need` may have become free since `version`. Cheap; false means that it certainly has not.
    bool mayFitSince(std::uint64_t version, ServiceIndex service, const model::Resources &need) const;

    /// Visits the VMs whose free capacity may have grown since `version`; returns false if the change log does not reach back that far.
    template<typename Visitor>
    bool visitChanges(std::uint64_t since, Visitor visitor) const
    {
        if (this->capacityVersion - since > ChangeLogSize) {
            return false;
        }
        for (std::uint64_t entry = since; entry < this->capacityVersion; ++entry) {
            visitor(this->changeLog[entry % ChangeLogSize]);
        }
        return true;
    }

    std::uint64_t version() const
    {
        return this->capacityVersion;
    }

    /// Returns how many tasks of this size the registered VMs could hold when empty, counted up to `limit`.
    std::uint64_t countFittingEmpty(const model::Resources &need, std::uint64_t limit) const;

    /// Like the above, for the VMs that have upstreams of the service now.
    std::uint64_t countFittingEmpty(ServiceIndex service, const model::Resources &need, std::uint64_t limit) const;

    const LedgerVm &vm(VmIndex index) const
    {
        return this->vms[index];
    }

    const LedgerUpstream &upstream(UpstreamIndex index) const
    {
        return this->upstreams[index];
    }

    std::size_t vmCount() const
    {
        return this->vms.size();
    }

    std::size_t upstreamCount() const
    {
        return this->upstreams.size();
    }

    /// Capacity and slots of the VMs that accept work.
    const Demand &total() const
    {
        return this->openTotal;
    }

    const Demand &reserved() const
    {
        return this->reservedTotal;
    }

    /// Returns the total free capacity and slots of the VMs that accept work.
    Demand freeCapacity() const
    {
        Demand free = this->openTotal;
        free -= this->openReserved;
        return free;
    }

    const std::string &rackName(std::uint32_t rack) const
    {
        return this->rackNames[rack];
    }

private:
    using CapacityKey = std::tuple<std::int64_t, std::int64_t, std::int64_t>;
    static constexpr std::size_t ChangeLogSize = 256;

    using CapacityCounts = absl::btree_map<CapacityKey, std::uint32_t>;

    struct ServicePlacement {
        PlacementIndex openVms;
        PlacementIndex reservedVms;
        CapacityCounts capacities; ///< VMs with upstreams of the service, busy or not, by capacity.
    };

    /// One VM's contribution to the totals.
    struct VmContribution {
        Demand openCapacity; ///< Zero while the VM accepts no work.
        Demand reserved; ///< Zero while the VM accepts no work.
        CapacityKey capacity;
        std::vector<ServiceIndex> services;
    };

    VmIndex findOrAddVm(const std::string &name);
    static void adjustCount(CapacityCounts &counts, const CapacityKey &key, int sign);
    static std::uint64_t countFitting(const CapacityCounts &counts, const model::Resources &need, std::uint64_t limit);
    std::uint32_t addReservation(VmIndex vm, UpstreamIndex upstream, const model::Resources &size, TaskRef task);
    void updateIndexes(VmIndex vm);
    void updateContribution(VmIndex vm);
    void capacityGrew(VmIndex vm);
    bool hasFreeSlotFor(const LedgerVm &vm, ServiceIndex service) const;

    std::vector<LedgerVm> vms;
    std::vector<VmContribution> contributions; ///< By VM.
    std::vector<LedgerUpstream> upstreams;
    std::vector<ServicePlacement> services{1};
    absl::flat_hash_map<std::string, VmIndex> vmByName;
    absl::flat_hash_map<std::string, UpstreamIndex> upstreamById;
    absl::flat_hash_map<std::string, ServiceIndex> serviceByName{{"", AnyService}};
    absl::flat_hash_map<std::string, std::uint32_t> rackByName;
    std::vector<std::string> rackNames;
    CapacityCounts capacities; ///< Registered VMs by capacity.
    std::array<VmIndex, ChangeLogSize> changeLog{};
    std::uint64_t capacityVersion = 1;
    Demand openTotal;
    Demand openReserved;
    Demand reservedTotal;
};

} // namespace cranberryreel::policy
