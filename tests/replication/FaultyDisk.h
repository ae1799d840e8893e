#pragma once

#include "replication/DiskLogStore.h"

#include <atomic>
#include <memory>
#include <string>

namespace cranberryreel::replication
{

/// A log store on disk that refuses to write while its switch is set, as a full disk does.
class FaultyDisk : public LogStore
{
public:
    FaultyDisk(const std::string &folder, std::shared_ptr<const std::atomic<bool>> fullSwitch);

    Recovered recover() override;
    void write(const CoreOutput &output) override;
    void compact(const Snapshot &snapshot, const HardState &hardState, const std::vector<Entry> &entriesAfter) override;

private:
    void throwIfFull() const;

    DiskLogStore disk;
    std::shared_ptr<const std::atomic<bool>> full;
};

} // namespace cranberryreel::replication
