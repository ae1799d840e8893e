#pragma once

#include "replication/GroupRecord.h"

#include <cstdint>
#include <string>

namespace cranberryreel::replication
{

/// The replicated state after the entry at `index`; replaces all entries up to that index.
struct Snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    GroupRecord record;
    std::string state; ///< The bytes returned by StateMachine::snapshot.
};

} // namespace cranberryreel::replication
