#include "policy/PlacementIndex.h"

#include <absl/numeric/bits.h>

#include <algorithm>

namespace cranberryreel::policy
{

namespace
{

constexpr std::int64_t CpuBaseMillis = 10;
constexpr std::int64_t MemoryBaseMiB = 16;
constexpr std::size_t StepsPerDoubling = 4;
constexpr std::size_t CheckedPerCell = 64;
constexpr std::size_t CheckedPerSearch = 256;
constexpr std::size_t AcceptedCellsPerGroup = 12;

std::uint64_t maskFrom(std::size_t bit)
{
    return ~std::uint64_t{0} << bit;
}

} // namespace

struct PlacementIndex::Search {
    const model::Resources &need;
    const SearchLimits &searchLimits;
    absl::FunctionRef<bool(VmIndex)> accept;
    std::size_t cpuStep;
    std::size_t memoryStep;
    bool memoryFirst;
    std::size_t accepted = 0;
    std::size_t acceptedCells = 0;
    std::size_t checked = 0;

    bool finished() const
    {
        return this->accepted >= this->searchLimits.maxAccepted || this->checked >= CheckedPerSearch;
    }
};

PlacementIndex::PlacementIndex()
    : groups(Groups)
{
}

std::size_t PlacementIndex::gridStep(std::int64_t amount, std::int64_t base)
{
    if (amount < base) {
        return 0;
    }
    const auto scaled = static_cast<std::uint64_t>(amount) * StepsPerDoubling / static_cast<std::uint64_t>(base);
    const auto exponent = static_cast<std::size_t>(absl::bit_width(scaled)) - 1;
    const std::size_t fraction = (scaled >> (exponent - 2)) & (StepsPerDoubling - 1);
    return std::min(Steps - 1, (exponent - 2) * StepsPerDoubling + fraction + 1);
}

std::size_t PlacementIndex::acceleratorClass(const VmFreeCapacity &freeCapacity)
{
    if (!freeCapacity.hasAccelerators) {
        return 0;
    }
    const auto free = static_cast<std::uint64_t>(std::max<std::int64_t>(0, freeCapacity.resources.accelerators));
    return std::min<std::size_t>(AcceleratorClasses - 1, 1 + static_cast<std::size_t>(absl::bit_width(free)));
}

std::uint32_t PlacementIndex::cellFor(const VmFreeCapacity &freeCapacity)
{
    const std::size_t group = acceleratorClass(freeCapacity) * 2 + (freeCapacity.empty ? 1 : 0);
    const std::size_t cpu = gridStep(freeCapacity.resources.cpuMillis, CpuBaseMillis);
    const std::size_t memory = gridStep(freeCapacity.resources.memoryMiB, MemoryBaseMiB);
    return static_cast<std::uint32_t>((group * Steps + cpu) * Steps + memory);
}

void PlacementIndex::put(VmIndex vm, const VmFreeCapacity &freeCapacity)
{
    if (vm >= this->positions.size()) {
        this->positions.resize(vm + 1);
    }
    const std::uint32_t cell = cellFor(freeCapacity);
    if (this->positions[vm].cell == cell) {
        return;
    }
    this->remove(vm);
    auto &list = this->cells[cell];
    if (list.empty()) {
        this->setMasks(cell);
    }
    this->positions[vm] = {cell, static_cast<std::uint32_t>(list.size())};
    list.push_back(vm);
    ++this->memberCount;
}

void PlacementIndex::remove(VmIndex vm)
{
    if (vm >= this->positions.size() || this->positions[vm].cell == NoIndex) {
        return;
    }
    const auto [cell, offset] = this->positions[vm];
    auto &list = this->cells[cell];
    const VmIndex last = list.back();
    list[offset] = last;
    this->positions[last].offset = offset;
    list.pop_back();
    if (list.empty()) {
        this->clearMasks(cell);
    }
    this->positions[vm] = {};
    --this->memberCount;
}

void PlacementIndex::setMasks(std::uint32_t cell)
{
    const std::size_t memory = cell % Steps;
    const std::size_t cpu = cell / Steps % Steps;
    Group &group = this->groups[cell / Steps / Steps];
    group.byCpu[cpu] |= std::uint64_t{1} << memory;
    group.byMemory[memory] |= std::uint64_t{1} << cpu;
    group.cpuRows |= std::uint64_t{1} << cpu;
    group.memoryRows |= std::uint64_t{1} << memory;
}

void PlacementIndex::clearMasks(std::uint32_t cell)
{
    const std::size_t memory = cell % Steps;
    const std::size_t cpu = cell / Steps % Steps;
    Group &group = this->groups[cell / Steps / Steps];
    group.byCpu[cpu] &= ~(std::uint64_t{1} << memory);
    group.byMemory[memory] &= ~(std::uint64_t{1} << cpu);
    if (group.byCpu[cpu] == 0) {
        group.cpuRows &= ~(std::uint64_t{1} << cpu);
    }
    if (group.byMemory[memory] == 0) {
        group.memoryRows &= ~(std::uint64_t{1} << memory);
    }
}

void PlacementIndex::visit(const model::Resources &need, const SearchLimits &searchLimits, absl::FunctionRef<bool(VmIndex)> accept) const
{
    const std::size_t cpuStep = gridStep(need.cpuMillis, CpuBaseMillis);
    const std::size_t memoryStep = gridStep(need.memoryMiB, MemoryBaseMiB);
    Search search{need, searchLimits, accept, cpuStep, memoryStep, memoryStep > cpuStep};
    VmFreeCapacity required;
    required.resources = need;
    required.hasAccelerators = need.accelerators > 0;
    for (std::size_t group = acceleratorClass(required) * 2; group < Groups; ++group) {
        search.acceptedCells = 0;
        this->visitGroup(group, search);
        const bool visitEmpty = searchLimits.includeEmpty && group % 2 == 0;
        if (search.finished() || (search.accepted > 0 && !visitEmpty)) {
            return;
        }
    }
}

void PlacementIndex::visitGroup(std::size_t groupIndex, Search &search) const
{
    const Group &group = this->groups[groupIndex];
    const auto &lines = search.memoryFirst ? group.byMemory : group.byCpu;
    const std::size_t firstLine = search.memoryFirst ? search.memoryStep : search.cpuStep;
    const std::size_t firstBit = search.memoryFirst ? search.cpuStep : search.memoryStep;
    std::uint64_t rows = (search.memoryFirst ? group.memoryRows : group.cpuRows) & maskFrom(firstLine);
    for (; rows != 0; rows &= rows - 1) {
        const auto line = static_cast<std::size_t>(absl::countr_zero(rows));
        for (std::uint64_t bits = lines[line] & maskFrom(firstBit); bits != 0; bits &= bits - 1) {
            const auto bit = static_cast<std::size_t>(absl::countr_zero(bits));
            const std::size_t cpu = search.memoryFirst ? bit : line;
            const std::size_t memory = search.memoryFirst ? line : bit;
            const std::size_t acceptedBefore = search.accepted;
            this->visitCell(static_cast<std::uint32_t>((groupIndex * Steps + cpu) * Steps + memory), search);
            if (search.finished() || search.acceptedCells >= AcceptedCellsPerGroup) {
                return;
            }
            if (search.accepted > acceptedBefore) {
                break;
            }
        }
    }
}

void PlacementIndex::visitCell(std::uint32_t cell, Search &search) const
{
    const auto &list = this->cells.at(cell);
    std::size_t acceptedHere = 0;
    std::size_t checkedHere = 0;
    for (const VmIndex vm : list) {
        if (search.finished() || acceptedHere >= search.searchLimits.maxPerCell || checkedHere >= CheckedPerCell) {
            break;
        }
        ++checkedHere;
        ++search.checked;
        if (search.accept(vm)) {
            ++acceptedHere;
            ++search.accepted;
        }
    }
    search.acceptedCells += acceptedHere > 0 ? 1 : 0;
}

} // namespace cranberryreel::policy
