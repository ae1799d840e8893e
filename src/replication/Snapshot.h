#pragma once

#include "replication/GroupRecord.h"

#include <cstdint>
#include <string>

namespace cranberryreel::replication
{

/// The state after one index of the log, replacing all entries up to it.
struct Snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    GroupRecord record;
    std::string state; ///< What StateMachine::snapshot returned.
};

} // namespace cranberryreel::replication
