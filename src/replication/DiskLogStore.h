#pragma once

#include "replication/DataFolder.h"
#include "replication/FileDescriptor.h"
#include "replication/LogBatch.h"
#include "replication/LogStore.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cranberryreel::replication
{

/// The log store of a member with a disk: a snapshot and a log file of framed batches that continues it, each batch synced. A compaction writes the snapshot
/// and a new log file, each atomically, then removes the old ones; a restart reads only the newest. A compaction that fails before the new log file has its
/// name is undone. After a failed write or sync, recover() drops what is not known to be synced.
class DiskLogStore : public LogStore
{
public:
    /// Throws base::Error(DataFolderUnwritable).
    explicit DiskLogStore(const std::string &folder, FileOperations &operations = FileOperations::system());

    Recovered recover() override;
    void write(const CoreOutput &output) override;
    void compact(const Snapshot &snapshot, const HardState &hardState, const std::vector<Entry> &entriesAfter) override;

private:
    void append(const CoreOutput &output);
    void replaceAll(const Snapshot &snapshot, const HardState &state, const std::vector<Entry> &entriesAfter);

    using Generations = std::map<std::uint64_t, std::string>;

    /// Returns the log files by generation; removes the temporary files of an interrupted compaction. Throws base::Error(LogCorrupt) for a snapshot without a
    /// log.
    Generations logFiles() const;
    Recovered recoverAfterFailure(std::uint64_t newest, const std::string &name);
    Recovered useLog(std::uint64_t newest, const std::string &name, std::size_t maxBytes);
    Recovered readLog(std::string_view file, const std::string &name, std::size_t &validBytes) const;
    void openLog(const std::string &name);
    void startLogFile(const LogBatch &first);

    /// Removes all files but the log in use and its snapshot. Their presence does no harm, so that failures are only logged.
    void removeObsoleteFiles() const;
    bool mayExist(const std::string &name) const;

    FileOperations *operations; ///< Not owned.
    DataFolder folder;
    FileDescriptor log;
    std::uint64_t generation = 0;
    LogPosition position; ///< Position of the snapshot that the log file continues.
    std::size_t logBytes = 0; ///< Size of the log file.
    std::size_t syncedBytes = 0; ///< Size of the log file at its last successful sync.
    std::uint64_t syncedGeneration = 0; ///< The log file of which `syncedBytes` is known to be true; 0 for none.
    HardState hardState;
    bool mustRecover = false; ///< A write or a sync failed: what the files hold is unknown until recover() has succeeded.
};

} // namespace cranberryreel::replication
