#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryreel::replication
{

/// One folder of a member's own on a disk. What it writes is synced, with the folder's entry, before it returns.
/// Errors: base::Error(StorageWriteFailed); the folder itself base::Error(DataFolderUnwritable).
class DataFolder
{
public:
    /// Creates the folder where it is missing.
    explicit DataFolder(std::string path);

    std::vector<std::string> files() const;
    std::string read(const std::string &name) const;

    /// Replaces the file as a whole: after a crash it is the old or the new one.
    void replace(const std::string &name, std::string_view bytes) const;
    void remove(const std::string &name) const;

    std::string pathOf(const std::string &name) const
    {
        return this->path + "/" + name;
    }

private:
    void syncFolder() const;

    std::string path;
};

} // namespace cranberryreel::replication
