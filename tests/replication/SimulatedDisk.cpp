#include "SimulatedDisk.h"

#include <algorithm>

namespace cranberryreel::replication
{

namespace
{

constexpr std::size_t KeptCheckpoints = 4;

std::uint64_t baseOf(const Recovered &state)
{
    return state.snapshot ? state.snapshot->index : 0;
}

} // namespace

void SimulatedDisk::put(Recovered &state, const CoreOutput &output)
{
    if (output.snapshot) {
        state.snapshot = output.snapshot->index > 0 ? output.snapshot : nullptr;
        state.entries.clear();
    }
    if (output.hardState) {
        state.hardState = *output.hardState;
    }
    for (const Entry &entry : output.entries) {
        state.entries.resize(entry.index - baseOf(state) - 1);
        state.entries.push_back(entry);
    }
}

void SimulatedDisk::write(const CoreOutput &output)
{
    SimulatedDisk::put(this->written, output);
    if (output.mustSync) {
        this->sync();
    }
}

void SimulatedDisk::sync()
{
    const std::uint64_t known = this->synced.entries.empty() ? baseOf(this->synced) : this->synced.entries.back().index;
    this->synced = this->written;
    this->everCoveredIndex = std::max(this->everCoveredIndex, baseOf(this->synced));
    for (auto entry = this->synced.entries.rbegin(); entry != this->synced.entries.rend(); ++entry) {
        const bool isNew = this->everSynced.emplace(entry->index, entry->term).second;
        if (!isNew && entry->index < known) {
            break;
        }
    }
}

void SimulatedDisk::compact(const std::shared_ptr<const Snapshot> &snapshot, const HardState &hardState, const std::vector<Entry> &after)
{
    this->written = Recovered{hardState, snapshot, after};
    this->sync();
}

Recovered SimulatedDisk::crash()
{
    this->written = this->synced;
    return this->synced;
}

void SimulatedDisk::wipe()
{
    this->synced = Recovered();
    this->written = Recovered();
    this->checkpoints.clear();
}

void SimulatedDisk::checkpoint()
{
    this->checkpoints.push_back(this->synced);
    if (this->checkpoints.size() > KeptCheckpoints) {
        this->checkpoints.pop_front();
    }
}

bool SimulatedDisk::rollBack()
{
    if (this->checkpoints.empty()) {
        return false;
    }
    this->synced = this->checkpoints.front();
    this->written = this->synced;
    this->checkpoints.clear();
    return true;
}

bool SimulatedDisk::hasSynced(std::uint64_t index, std::uint64_t term) const
{
    return index <= this->everCoveredIndex || this->everSynced.count({index, term}) != 0;
}

} // namespace cranberryreel::replication
