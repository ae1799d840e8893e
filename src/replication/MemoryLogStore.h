#pragma once

#include "replication/LogStore.h"

namespace cranberryreel::replication
{

/// The store of a member without a disk: nothing survives.
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
};

} // namespace cranberryreel::replication
