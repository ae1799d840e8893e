#pragma once

#include "replication/Entry.h"
#include "replication/HardState.h"
#include "replication/Snapshot.h"

#include <memory>
#include <vector>

namespace cranberryreel::replication
{

/// The state that a member reads from its disk at its start; all defaults for a member without stored state.
struct Recovered {
    HardState hardState;
    std::shared_ptr<const Snapshot> snapshot;
    std::vector<Entry> entries; ///< The entries after the snapshot, without gaps.
};

} // namespace cranberryreel::replication
