#pragma once

#include "replication/LogPosition.h"
#include "replication/Standing.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>

namespace cranberryreel::replication
{

/// What a member answered when it was asked for a cold start.
struct Presence {
    std::uint64_t boot = 0;
    Standing standing = Standing::Blank;
    LogPosition position;
    std::uint64_t term = 0; ///< The highest it has seen, or its floor.
    bool hearsLeader = false;
    base::SteadyTime at;
};

} // namespace cranberryreel::replication
