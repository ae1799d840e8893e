#pragma once

#include "config/ConfigStore.h"
#include "replication/DataFolder.h"

#include <optional>
#include <string>

namespace cranberryreel::config
{

/// Stores the last revision in force at this VM in its data folder. Each save is synced, atomically replaces the old file, and then the folder is synced.
/// Owned by the VM's config service; used by one thread.
class RevisionFile
{
public:
    /// Creates the folder if it is missing. Throws base::Error(DataFolderUnwritable).
    explicit RevisionFile(const std::string &dataFolder);

    /// Throws base::Error(StorageWriteFailed) and then leaves the old file in place.
    void save(const RevisionTexts &texts) const;

    /// Returns nullopt when the file is missing or damaged. Throws base::Error(StorageWriteFailed) when it cannot be opened.
    std::optional<RevisionTexts> load() const;

private:
    const replication::DataFolder folder;
};

} // namespace cranberryreel::config
