#pragma once

#include "replication/CoreOutput.h"
#include "replication/Recovered.h"

#include <cstdint>
#include <vector>

namespace cranberryreel::replication
{

/// Persistent storage of a member's log, hard state and snapshot. Owned by the group; used by the group's own thread only.
class LogStore
{
public:
    virtual ~LogStore() = default;

    /// Reads the stored state. Called before any other function, and again after a failed write: what it returns then is synced, although the failed write may
    /// have left a part behind or a sync may have dropped data. Throws base::Error(LogCorrupt), (SnapshotCorrupt) or (StorageWriteFailed).
    virtual Recovered recover() = 0;

    /// Writes the output's snapshot, hard state and entries. If CoreOutput::mustSync is set, they are synced when the function returns. Throws
    /// base::Error(StorageWriteFailed).
    virtual void write(const CoreOutput &output) = 0;

    /// Replaces all stored data with the snapshot, the hard state and the entries after the snapshot. Throws base::Error(StorageWriteFailed); write() then goes
    /// on with the data stored before, or throws if it is not known which data a restart would read.
    virtual void compact(const Snapshot &snapshot, const HardState &hardState, const std::vector<Entry> &entriesAfter) = 0;

    /// False for a store without a disk; its calls run on the group's thread.
    virtual bool mayBlock() const
    {
        return true;
    }
};

} // namespace cranberryreel::replication
