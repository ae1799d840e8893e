#pragma once

#include "config/ConfigStore.h"
#include "replication/DataFolder.h"

#include <optional>
#include <string>

namespace cranberryreel::config
{

/// The last revision that this VM served on, kept in its data folder. Each save is synced, then takes the old file's place at once, then the folder is
/// synced. Owned by the VM's config service; used by one thread.
class RevisionFile
{
public:
    /// Creates the folder where it is missing. Throws base::Error(DataFolderUnwritable).
    explicit RevisionFile(const std::string &dataFolder);

    /// Throws base::Error(StorageWriteFailed); the old file stays.
    void save(const RevisionTexts &texts) const;

    /// Empty when there is no file, or a damaged one.
    std::optional<RevisionTexts> load() const;

private:
    const replication::DataFolder folder;
};

} // namespace cranberryreel::config
