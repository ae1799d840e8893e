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

/// A member's disk in a Simulation: what was written without a sync goes with a crash, and it can be set back to an earlier state.
class SimulatedDisk
{
public:
    void write(const CoreOutput &output);
    void compact(const std::shared_ptr<const Snapshot> &snapshot, const HardState &hardState, const std::vector<Entry> &after);

    /// What a restart finds.
    Recovered crash();
    void wipe();

    /// Remembers the synced state for a later rollback.
    void checkpoint();

    /// Back to the oldest remembered state; false when there is none.
    bool rollBack();

    /// Was this entry ever synced here? A later wipe does not undo that.
    bool hasSynced(std::uint64_t index, std::uint64_t term) const;

private:
    void sync();
    static void put(Recovered &state, const CoreOutput &output);

    Recovered synced;
    Recovered written;
    std::deque<Recovered> checkpoints;
    std::set<std::pair<std::uint64_t, std::uint64_t>> everSynced; ///< Index and term.
    std::uint64_t everCovered = 0; ///< By a synced snapshot.
};

} // namespace cranberryreel::replication
