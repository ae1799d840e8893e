#pragma once

#include "replication/LogPosition.h"
#include "replication/Standing.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>

namespace cranberryreel::replication
{

/// A member's latest answer to a probe, used to decide on a cold start. Owned by the core.
struct Presence {
    std::uint64_t boot = 0;
    Standing standing = Standing::Blank;
    LogPosition position;
    std::uint64_t term = 0; ///< The highest term it has seen, or its term floor if that is higher.
    bool hasLeaderContact = false;
    base::SteadyTime at;
};

} // namespace cranberryreel::replication
