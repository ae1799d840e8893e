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
    explicit DiskLogStore(const std::string &folder, FileOperations &operations = FileOperations::system());

    Recovered recover() override;
    void write(const CoreOutput &output) override;
    void compact(const Snapshot &snapshot, const HardState &hardState, const std::vector<Entry> &entriesAfter) override;

private:
    /// Runs the operation, and notes when it throws that the files may not hold what was written.
    template<typename Operation>
    void checked(Operation operation);

    void append(const CoreOutput &output);
    void replaceAll(const Snapshot &snapshot, const HardState &state, const std::vector<Entry> &entriesAfter);

    using Generations = std::map<std::uint64_t, std::string>;

    /// Returns the log files by generation; removes the temporary files of an interrupted compaction.
    Generations logFiles() const;
    Recovered readLog(std::string_view file, const std::string &name, std::size_t &validBytes) const;
    void startLogFile(const LogBatch &first);
    void removeObsoleteFiles(std::uint64_t snapshotIndex) const;

    FileOperations *operations; ///< Not owned.
    DataFolder folder;
    FileDescriptor log;
    std::uint64_t generation = 0;
    HardState hardState;
    bool mustRewrite = false; ///< A write or a sync failed; the files are read back and written anew before they are used again.
};

} // namespace cranberryreel::replication
