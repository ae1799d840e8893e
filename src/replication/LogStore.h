#pragma once

#include "replication/CoreOutput.h"
#include "replication/Recovered.h"

#include <cstdint>
#include <vector>

namespace cranberryreel::replication
{

/// Where a member keeps what must survive its process. Used by the group's own thread only; owned by the group.
class LogStore
{
public:
    virtual ~LogStore() = default;

    /// What survived. Once, before anything else. Throws base::Error(LogCorrupt) or base::Error(SnapshotCorrupt).
    virtual Recovered recover() = 0;

    /// Writes the output's snapshot, hard state and entries and, where it says so, syncs them: they are safe when it returns. Throws
    /// base::Error(StorageWriteFailed).
    virtual void write(const CoreOutput &output) = 0;

    /// Replaces all that is kept by this. Throws base::Error(StorageWriteFailed).
    virtual void compact(const Snapshot &snapshot, const HardState &hardState, const std::vector<Entry> &entriesAfter) = 0;
};

} // namespace cranberryreel::replication
