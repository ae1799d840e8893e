#pragma once

#include "replication/DataFolder.h"
#include "replication/FileDescriptor.h"
#include "replication/LogBatch.h"
#include "replication/LogStore.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cranberryreel::replication
{

/// The log store of a member with a disk: a snapshot and a log file of framed batches that continues it, each batch synced. A compaction writes the snapshot
/// and a new log file, each atomically, then removes the old ones; a restart reads only the newest.
class DiskLogStore : public LogStore
{
public:
    /// Throws base::Error(DataFolderUnwritable).
    explicit DiskLogStore(const std::string &folder);

    Recovered recover() override;
    void write(const CoreOutput &output) override;
    void compact(const Snapshot &snapshot, const HardState &hardState, const std::vector<Entry> &entriesAfter) override;

private:
    using Generations = std::map<std::uint64_t, std::string>;

    /// Returns the log files by generation; removes the temporary files of an interrupted compaction.
    Generations logFiles() const;
    Recovered readLog(std::string_view file, const std::string &name, std::size_t &validBytes) const;
    void startLogFile(const LogBatch &first);
    void removeObsoleteFiles(std::uint64_t snapshotIndex) const;

    DataFolder folder;
    FileDescriptor log;
    std::uint64_t generation = 0;
    HardState hardState;
};

} // namespace cranberryreel::replication
