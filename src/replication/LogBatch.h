#pragma once

#include "replication/Entry.h"
#include "replication/HardState.h"
#include "replication/LogPosition.h"

#include <optional>
#include <vector>

namespace cranberryreel::replication
{

/// The data that one write and sync adds to the log file.
struct LogBatch {
    std::optional<LogPosition> base; ///< Set in the first batch of a file only: the position of the snapshot that the file continues.
    std::optional<HardState> hardState;
    std::vector<Entry> entries; ///< The first one replaces all stored entries from its index on.
};

} // namespace cranberryreel::replication
