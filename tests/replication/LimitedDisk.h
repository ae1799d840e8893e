#pragma once

#include "replication/FileOperations.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <limits>
#include <string>

namespace cranberryreel::replication
{

/// A disk with room for a number of bytes in the files below one folder. A write stores what still fits and then fails. Syncs can fail, and all operations can
/// be held up. Any thread.
class LimitedDisk : public FileOperations
{
public:
    explicit LimitedDisk(std::string folder);

    int open(const std::string &path, int flags) override;
    ssize_t write(int descriptor, std::string_view bytes) override;
    int sync(int descriptor) override;
    std::error_code createFolder(const std::string &path) override;

    void setBudget(std::size_t bytes);
    void setRefusesFolders(bool refuses);

    /// Lets this many syncs succeed and the following ones fail.
    void failSyncsAfter(int succeeding);

    /// While set, writes and syncs do not return.
    void setHung(bool hung);

    /// True while a write or sync waits.
    bool isHolding() const;

    std::size_t usedBytes() const;
    std::size_t peakBytes() const;
    int syncCount() const;

private:
    void waitWhileHung();

    const std::string folder;
    mutable absl::Mutex mutex;
    std::size_t budget ABSL_GUARDED_BY(mutex) = std::numeric_limits<std::size_t>::max();
    std::size_t peak ABSL_GUARDED_BY(mutex) = 0;
    int syncs ABSL_GUARDED_BY(mutex) = 0;
    int syncsToSucceed ABSL_GUARDED_BY(mutex) = std::numeric_limits<int>::max();
    int held ABSL_GUARDED_BY(mutex) = 0;
    bool hung ABSL_GUARDED_BY(mutex) = false;
    bool refusesFolders ABSL_GUARDED_BY(mutex) = false;
};

} // namespace cranberryreel::replication
