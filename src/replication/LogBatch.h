#pragma once

#include "replication/Entry.h"
#include "replication/HardState.h"
#include "replication/LogPosition.h"

#include <optional>
#include <vector>

namespace cranberryreel::replication
{

/// What one write and sync adds to the disk log.
struct LogBatch {
    std::optional<LogPosition> base; ///< First batch of a file only: the snapshot that the file continues.
    std::optional<HardState> hardState;
    std::vector<Entry> entries; ///< The first one replaces all from its index on.
};

} // namespace cranberryreel::replication
