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

/// The store of a member with a disk: a log file of framed batches, each synced, after the snapshot that it continues. A compaction writes the snapshot
/// and a new log file, each as a whole, then removes the old ones; a restart reads only the newest.
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

    /// The log files by generation; removes what an interrupted compaction left behind.
    Generations logFiles() const;
    Recovered readLog(std::string_view file, const std::string &name, std::size_t &validBytes) const;
    void startFile(const LogBatch &first);
    void removeEarlier(std::uint64_t snapshotIndex) const;

    DataFolder folder;
    FileDescriptor log;
    std::uint64_t generation = 0;
    HardState hardState;
};

} // namespace cranberryreel::replication
