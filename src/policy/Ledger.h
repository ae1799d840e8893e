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

/// One task of one job, wherever it stands.
struct TaskRef {
    JobIndex job = NoIndex;
    std::uint32_t task = 0;
};

struct LedgerUpstream {
    std::string id;
    VmIndex vm = NoIndex;
    ServiceIndex service = 0;
    std::uint32_t slots = 0;
    std::uint32_t slotLimit = UINT32_MAX; ///< Health may open fewer slots than there are.
    std::uint32_t usedSlots = 0;
    bool accepting = false;

    std::uint32_t openSlots() const
    {
        return std::min(this->slots, this->slotLimit);
    }

    bool hasRoom() const
    {
        return this->accepting && this->usedSlots < this->openSlots();
    }
};

struct LedgerVm {
    std::string name;
    std::uint32_t rack = 0;
    model::Resources capacity;
    model::Resources reserved;
    bool draining = false;
    bool known = false; ///< Whether the register lists it.
    JobIndex heldBy = NoIndex; ///< Only this job may be placed on it, and work that ends before it is needed.
    std::vector<UpstreamIndex> upstreams;
    std::vector<TaskRef> tasks; ///< All that hold a reservation on it.

    model::Resources free() const
    {
        return this->capacity - this->reserved;
    }
};

/// The capacity of a zone and what is reserved of it, by VM and by upstream slot. A placement is refused by an assertion when it would exceed either. Owned by
/// the planner's state.
class Ledger
{
public:
    static constexpr ServiceIndex AnyService = 0;

    ServiceIndex service(const std::string &name);
    VmIndex setVm(const VmView &view);
    VmIndex removeVm(const std::string &name);
    UpstreamIndex setUpstream(const UpstreamView &view);
    void removeUpstream(const std::string &id);
    UpstreamIndex findUpstream(const std::string &id) const;
    void setSlotLimit(UpstreamIndex upstream, std::uint32_t limit);

    /// Reserves for a task; returns its place in the VM's list of tasks.
    std::uint32_t reserve(VmIndex vm, UpstreamIndex upstream, const model::Resources &size, TaskRef task);

    /// Like reserve(), for a task that already runs: it counts even where it exceeds the capacity.
    std::uint32_t adopt(VmIndex vm, UpstreamIndex upstream, const model::Resources &size, TaskRef task);

    /// Gives a reservation back; returns the task that moved into the freed place of the VM's list, with job NoIndex when none did.
    TaskRef release(VmIndex vm, UpstreamIndex upstream, const model::Resources &size, std::uint32_t place);

    /// Raises a running task's reservation where the VM has room for it.
    bool grow(VmIndex vm, const model::Resources &from, const model::Resources &to);

    void hold(VmIndex vm, JobIndex job);
    void releaseHold(VmIndex vm);

    /// Whether a task of this size and service could be started on the VM now, holds aside.
    bool fits(VmIndex vm, ServiceIndex service, const model::Resources &need) const;

    /// The VM's upstream that should take the task; NoIndex when none can.
    UpstreamIndex chooseUpstream(VmIndex vm, ServiceIndex service) const;

    /// VMs open to all work of the service; and those held for some job.
    const PlacementIndex &open(ServiceIndex service) const;
    const PlacementIndex &held(ServiceIndex service) const;

    /// Whether room may have appeared for `need` since `version`; cheap. False means that it certainly has not.
    bool mayFitSince(std::uint64_t version, ServiceIndex service, const model::Resources &need) const;

    /// Visits the VMs whose room may have grown since `version`; false when that is too long ago to tell.
    template<typename Visitor>
    bool visitChanges(std::uint64_t since, Visitor visitor) const
    {
        if (this->roomVersion - since > ChangeLogSize) {
            return false;
        }
        for (std::uint64_t at = since; at < this->roomVersion; ++at) {
            visitor(this->changeLog[at % ChangeLogSize]);
        }
        return true;
    }

    std::uint64_t version() const
    {
        return this->roomVersion;
    }

    /// How many tasks of this size the VMs of the register could hold, empty, counted up to `most`.
    std::uint64_t everHolds(const model::Resources &need, std::uint64_t most) const;

    /// The same for the VMs that have upstreams of the service now.
    std::uint64_t everHolds(ServiceIndex service, const model::Resources &need, std::uint64_t most) const;

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

    /// Capacity and slots of the VMs that take work, and what is reserved everywhere.
    const Demand &total() const
    {
        return this->openTotal;
    }

    const Demand &reserved() const
    {
        return this->reservedTotal;
    }

    /// What is free on the VMs that take work, all together.
    Demand room() const
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

    struct ServiceIndexes {
        PlacementIndex open;
        PlacementIndex held;
        CapacityCounts capacities; ///< VMs with upstreams of the service, busy or not, by capacity.
    };

    /// What a VM adds to the sums.
    struct Counted {
        Demand open; ///< Zero where the VM takes no work.
        Demand reserved; ///< The same.
        CapacityKey capacity;
        std::vector<ServiceIndex> services;
    };

    VmIndex vmIndex(const std::string &name);
    static void count(CapacityCounts &counts, const CapacityKey &key, int sign);
    static std::uint64_t holds(const CapacityCounts &counts, const model::Resources &need, std::uint64_t most);
    std::uint32_t add(VmIndex vm, UpstreamIndex upstream, const model::Resources &size, TaskRef task);
    void reindex(VmIndex vm);
    void recount(VmIndex vm);
    void roomGrew(VmIndex vm);
    bool offers(const LedgerVm &vm, ServiceIndex service) const;

    std::vector<LedgerVm> vms;
    std::vector<Counted> counted; ///< By VM.
    std::vector<LedgerUpstream> upstreams;
    std::vector<ServiceIndexes> services{1};
    absl::flat_hash_map<std::string, VmIndex> vmByName;
    absl::flat_hash_map<std::string, UpstreamIndex> upstreamById;
    absl::flat_hash_map<std::string, ServiceIndex> serviceByName{{"", AnyService}};
    absl::flat_hash_map<std::string, std::uint32_t> rackByName;
    std::vector<std::string> rackNames;
    CapacityCounts capacities; ///< Registered VMs by capacity.
    std::array<VmIndex, ChangeLogSize> changeLog{};
    std::uint64_t roomVersion = 1;
    Demand openTotal;
    Demand openReserved;
    Demand reservedTotal;
};

} // namespace cranberryreel::policy
