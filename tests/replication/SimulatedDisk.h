#pragma once

#include "replication/CoreOutput.h"
#include "replication/Recovered.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace cranberryreel::replication
{

/// A member's disk in a Simulation. A crash drops unsynced writes; the disk can also be rolled back to an earlier state.
class SimulatedDisk
{
public:
    void write(const CoreOutput &output);
    void compact(const std::shared_ptr<const Snapshot> &snapshot, const HardState &hardState, const std::vector<Entry> &after);

    /// Discards unsynced writes and returns the state that a restart recovers.
    Recovered crash();
    void wipe();

    /// Saves the synced state for a later rollback.
    void checkpoint();

    /// Restores the oldest saved state; false when there is none.
    bool rollBack();

    /// Whether this entry was ever synced here; still true after a wipe.
    bool hasSynced(std::uint64_t index, std::uint64_t term) const;

private:
    void sync();
    static void put(Recovered &state, const CoreOutput &output);

    Recovered synced;
    Recovered written;
    std::deque<Recovered> checkpoints;
    std::set<std::pair<std::uint64_t, std::uint64_t>> everSynced; ///< Index and term.
    std::uint64_t everCoveredIndex = 0; ///< Highest index ever covered by a synced snapshot.
};

} // namespace cranberryreel::replication
