#pragma once

#include "replication/LogStore.h"

namespace cranberryreel::replication
{

/// The log store of a member without a disk. Stores nothing; a restart recovers nothing.
class MemoryLogStore : public LogStore
{
public:
    Recovered recover() override
    {
        return {};
    }

    void write(const CoreOutput & /*output*/) override
    {
    }

    void compact(const Snapshot & /*snapshot*/, const HardState & /*hardState*/, const std::vector<Entry> & /*entriesAfter*/) override
    {
    }

    bool mayBlock() const override
    {
        return false;
    }
};

} // namespace cranberryreel::replication
