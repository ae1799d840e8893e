#pragma once

#include "replication/Entry.h"
#include "replication/HardState.h"
#include "replication/Snapshot.h"

#include <memory>
#include <vector>

namespace cranberryreel::replication
{

/// What a member read from its disk at its start; all defaults for a member without memory.
struct Recovered {
    HardState hardState;
    std::shared_ptr<const Snapshot> snapshot;
    std::vector<Entry> entries; ///< Those after the snapshot, without a gap.
};

} // namespace cranberryreel::replication
