#pragma once

#include "cranberryreel/model/Resources.h"
#include "policy/Ids.h"

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cranberryreel::policy
{

/// The properties of a VM that determine its cell in the index.
struct VmFreeCapacity {
    model::Resources resources;
    bool hasAccelerators = false; ///< Whether the VM has accelerators, used or not.
    bool empty = false; ///< Whether nothing is reserved on it.
};

/// Bounds on a search for VMs.
struct SearchLimits {
    std::size_t maxAccepted = 8; ///< The search ends after this many VMs that fit.
    std::size_t maxPerCell = 2; ///< VMs that fit taken from one cell.
    bool includeEmpty = false; ///< Whether empty VMs are visited even if used ones fit.
};

/// Finds VMs with free capacity for a vector of resources without scanning all VMs. VMs lie in the cells of grids with logarithmic steps of free CPU and
/// memory, one grid for each accelerator class and emptiness. Bit masks tell which cells hold VMs, so that a search takes a bounded number of steps for any
/// number of VMs. Owned by Ledger; used by the planner's thread only.
class PlacementIndex
{
public:
    PlacementIndex();

    void put(VmIndex vm, const VmFreeCapacity &freeCapacity);
    void remove(VmIndex vm);
    std::size_t size() const
    {
        return this->memberCount;
    }

    /// Calls `accept` with VMs that may have free capacity for `need`, those with the least free capacity first: VMs without accelerators (for work that needs
    /// none), then by rising number of free accelerators; used VMs before empty ones. `accept` checks exactly and returns whether the VM fits. The search ends
    /// after the first grid with a VM that fits, or at the search limits.
    void visit(const model::Resources &need, const SearchLimits &searchLimits, absl::FunctionRef<bool(VmIndex)> accept) const;

private:
    static constexpr std::size_t Steps = 64; ///< Grid steps in each of the two dimensions.
    static constexpr std::size_t AcceleratorClasses = 8;
    static constexpr std::size_t Groups = AcceleratorClasses * 2;

    struct Group {
        std::array<std::uint64_t, Steps> byCpu{}; ///< Bit m of entry c: the cell (c, m) holds VMs.
        std::array<std::uint64_t, Steps> byMemory{}; ///< Transposed: bit c of entry m.
        std::uint64_t cpuRows = 0; ///< Bit c: entry c of byCpu is not zero.
        std::uint64_t memoryRows = 0;
    };

    struct Position {
        std::uint32_t cell = NoIndex;
        std::uint32_t offset = 0;
    };

    struct Search;

    static std::size_t gridStep(std::int64_t amount, std::int64_t base);
    static std::size_t acceleratorClass(const VmFreeCapacity &freeCapacity);
    static std::uint32_t cellFor(const VmFreeCapacity &freeCapacity);
    void visitGroup(std::size_t group, Search &search) const;
    void visitCell(std::uint32_t cell, Search &search) const;
    void setMasks(std::uint32_t cell);
    void clearMasks(std::uint32_t cell);

    std::vector<Group> groups;
    absl::flat_hash_map<std::uint32_t, std::vector<VmIndex>> cells;
    std::vector<Position> positions; ///< By VM.
    std::size_t memberCount = 0;
};

} // namespace cranberryreel::policy
