#pragma once

#include "replication/FileOperations.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryreel::replication
{

/// A folder on disk that belongs to one member. Each change is synced, together with the folder itself, before the function returns. Owned by the
/// DiskLogStore and used on the group's thread.
/// Errors: base::Error(StorageWriteFailed), also for a file that cannot be read; the constructor throws base::Error(DataFolderUnwritable) for a path that no
/// disk can ever hold.
class DataFolder
{
public:
    /// Creates the folder where it is missing. On a disk that is full or fails, the functions below try again. `operations` must outlive the folder.
    explicit DataFolder(std::string path, FileOperations &operations = FileOperations::system());

    std::vector<std::string> files() const;
    std::string read(const std::string &name) const;

    /// Replaces the file atomically: after a crash the old or the new content is there. Leaves no temporary file behind when it throws.
    void replace(const std::string &name, std::string_view bytes) const;
    void remove(const std::string &name) const;

    /// Removes the file if that is possible; a failure is only logged.
    void tryRemove(const std::string &name) const;

    /// Syncs the folder itself: the names of its files.
    void sync() const;

    /// Throws while files cannot be created, written or synced.
    void checkWritable() const;

    std::string pathOf(const std::string &name) const
    {
        return this->path + "/" + name;
    }

private:
    void writeTemporary(const std::string &temporary, std::string_view bytes) const;
    void requireCreated() const;

    std::string path;
    FileOperations *operations; ///< Not owned.
    mutable bool created = false;
};

} // namespace cranberryreel::replication
