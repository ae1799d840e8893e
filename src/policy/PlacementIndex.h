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

/// What the index sorts a VM by.
struct VmRoom {
    model::Resources free;
    bool hasAccelerators = false; ///< Whether the VM has any, used or not.
    bool empty = false; ///< Whether nothing is reserved on it.
};

/// How far a search goes before the caller has seen enough.
struct SearchBreadth {
    std::size_t most = 8; ///< VMs that fit.
    std::size_t perCell = 2; ///< VMs that fit and are alike.
    bool emptyAlike = false; ///< Empty VMs are looked at also where used ones fit.
};

/// Finds VMs with room for a vector of resources without scanning all of them. VMs lie in cells of a grid with logarithmic steps of free processors and memory,
/// one grid for each class of accelerators and emptiness; bit masks tell which cells hold VMs, so that a search costs a bounded number of steps however many
/// VMs there are. Owned by the ledger.
class PlacementIndex
{
public:
    PlacementIndex();

    void put(VmIndex vm, const VmRoom &room);
    void remove(VmIndex vm);
    std::size_t size() const
    {
        return this->members;
    }

    /// Offers VMs that may have room for `need`, tight ones first, in the order: VMs without accelerators (for work that needs none), then by rising number of
    /// free accelerators; used ones before empty ones. `accept` checks exactly and says whether the VM fits; the search ends after the first class of VMs with
    /// one that did, or when the breadth is used up.
    void visit(const model::Resources &need, const SearchBreadth &breadth, absl::FunctionRef<bool(VmIndex)> accept) const;

private:
    static constexpr std::size_t Steps = 64; ///< Grid steps on each of the two dimensions.
    static constexpr std::size_t AcceleratorClasses = 8;
    static constexpr std::size_t Groups = AcceleratorClasses * 2;

    struct Group {
        std::array<std::uint64_t, Steps> byCpu{}; ///< Bit m of entry c: the cell (c, m) holds VMs.
        std::array<std::uint64_t, Steps> byMemory{}; ///< The same, transposed.
        std::uint64_t cpuRows = 0; ///< Bit c: entry c of byCpu is not zero.
        std::uint64_t memoryRows = 0;
    };

    struct Position {
        std::uint32_t cell = NoIndex;
        std::uint32_t offset = 0;
    };

    struct Search;

    static std::size_t step(std::int64_t amount, std::int64_t base);
    static std::size_t acceleratorClass(const VmRoom &room);
    static std::uint32_t cellOf(const VmRoom &room);
    void visitGroup(std::size_t group, Search &search) const;
    void visitCell(std::uint32_t cell, Search &search) const;
    void setMasks(std::uint32_t cell);
    void clearMasks(std::uint32_t cell);

    std::vector<Group> groups;
    absl::flat_hash_map<std::uint32_t, std::vector<VmIndex>> cells;
    std::vector<Position> positions; ///< By VM.
    std::size_t members = 0;
};

} // namespace cranberryreel::policy
