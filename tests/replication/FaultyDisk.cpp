#include "FaultyDisk.h"

#include "cranberryreel/base/Error.h"

#include <utility>

namespace cranberryreel::replication
{

FaultyDisk::FaultyDisk(const std::string &folder, std::shared_ptr<const std::atomic<bool>> fullSwitch)
    : disk(folder)
    , full(std::move(fullSwitch))
{
}

Recovered FaultyDisk::recover()
{
    this->throwIfFull();
    return this->disk.recover();
}

void FaultyDisk::write(const CoreOutput &output)
{
    this->throwIfFull();
    this->disk.write(output);
}

void FaultyDisk::compact(const Snapshot &snapshot, const HardState &hardState, const std::vector<Entry> &entriesAfter)
{
    this->throwIfFull();
    this->disk.compact(snapshot, hardState, entriesAfter);
}

void FaultyDisk::throwIfFull() const
{
    if (*this->full) {
        throw base::Error(base::ResultCode::StorageWriteFailed, "Cannot write: no space.");
    }
}

} // namespace cranberryreel::replication
