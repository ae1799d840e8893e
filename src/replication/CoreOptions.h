#pragma once

#include "replication/GroupTimings.h"
#include "replication/Membership.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace cranberryreel::replication
{

/// Settings of a member's core, fixed at its start.
struct CoreOptions {
    std::string ownVm;
    std::uint64_t boot = 0; ///< Identifies this start of the member's process; differs for each start.
    Membership members; ///< From the settings; a membership in the log takes precedence.
    bool mayFormAnew = true; ///< False: this member only waits for a leader of an existing group and never takes part in a cold start.
    bool formsOnlyOnce = false; ///< No cold start once this member has committed anything: the group exists, and may have replaced it meanwhile.
    std::uint64_t termFloor = 0; ///< The first term after a cold start is higher than this. The wall clock in milliseconds is suitable.
    std::uint64_t seed = 1; ///< Seed of the randomized election timeouts.
    GroupTimings timings;
    std::size_t maxEntriesPerMessage = 2048;
    std::size_t maxBytesPerMessage = 512UL * 1024;
    std::size_t maxUnacknowledgedEntries = 32UL * 1024; ///< Limit of entries sent to one member and not acknowledged yet.
    std::size_t snapshotChunkBytes = 256UL * 1024;
    std::size_t maxSnapshotBytes = 64UL * 1024 * 1024;
};

} // namespace cranberryreel::replication
