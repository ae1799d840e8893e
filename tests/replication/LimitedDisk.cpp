#include "LimitedDisk.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <utility>

namespace cranberryreel::replication
{

LimitedDisk::LimitedDisk(std::string limitedFolder)
    : folder(std::move(limitedFolder))
{
}

int LimitedDisk::open(const std::string &path, int flags)
{
    this->waitWhileHung();
    return FileOperations::open(path, flags);
}

ssize_t LimitedDisk::write(int descriptor, std::string_view bytes)
{
    this->waitWhileHung();
    const absl::MutexLock lock(&this->mutex);
    const std::size_t used = this->usedBytes();
    const std::size_t room = this->budget - std::min(this->budget, used);
    if (room == 0) {
        errno = ENOSPC;
        return -1;
    }
    const ssize_t written = FileOperations::write(descriptor, bytes.substr(0, room));
    this->peak = std::max(this->peak, this->usedBytes());
    return written;
}

int LimitedDisk::sync(int descriptor)
{
    this->waitWhileHung();
    const absl::MutexLock lock(&this->mutex);
    ++this->syncs;
    if (this->syncsToSucceed == 0) {
        errno = EIO;
        return -1;
    }
    this->syncsToSucceed -= this->syncsToSucceed == std::numeric_limits<int>::max() ? 0 : 1;
    return FileOperations::sync(descriptor);
}

std::error_code LimitedDisk::createFolder(const std::string &path)
{
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->refusesFolders) {
            return std::make_error_code(std::errc::no_space_on_device);
        }
    }
    return FileOperations::createFolder(path);
}

void LimitedDisk::setBudget(std::size_t bytes)
{
    const absl::MutexLock lock(&this->mutex);
    this->budget = bytes;
}

void LimitedDisk::setRefusesFolders(bool refuses)
{
    const absl::MutexLock lock(&this->mutex);
    this->refusesFolders = refuses;
}

void LimitedDisk::failSyncsAfter(int succeeding)
{
    const absl::MutexLock lock(&this->mutex);
    this->syncsToSucceed = succeeding;
}

void LimitedDisk::setHung(bool isHung)
{
    const absl::MutexLock lock(&this->mutex);
    this->hung = isHung;
}

bool LimitedDisk::isHolding() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->held > 0;
}

/// The sum of the file sizes. Files may vanish meanwhile.
std::size_t LimitedDisk::usedBytes() const
{
    std::size_t bytes = 0;
    std::error_code error;
    for (auto item = std::filesystem::recursive_directory_iterator(this->folder, error); !error && item != std::filesystem::recursive_directory_iterator();
         item.increment(error)) {
        std::error_code gone;
        if (const auto size = item->file_size(gone); !gone) {
            bytes += size;
        }
    }
    return bytes;
}

std::size_t LimitedDisk::peakBytes() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->peak;
}

int LimitedDisk::syncCount() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->syncs;
}

void LimitedDisk::waitWhileHung()
{
    const absl::MutexLock lock(&this->mutex);
    ++this->held;
    this->mutex.Await(absl::Condition(
        +[](bool *isHung) { return !*isHung; }, &this->hung));
    --this->held;
}

} // namespace cranberryreel::replication
