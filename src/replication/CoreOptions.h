#pragma once

#include "replication/GroupTimings.h"
#include "replication/Membership.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace cranberryreel::replication
{

/// What a member's core must know before it starts.
struct CoreOptions {
    std::string ownVm;
    std::uint64_t boot = 0; ///< Differs for each start of a member's process.
    Membership members; ///< From the settings; what the log says goes before it.
    bool mayFormAnew = true; ///< False: it waits for a leader of an existing group, whatever it and its peers have forgotten.
    std::uint64_t termFloor = 0; ///< A group formed anew starts above it. Milliseconds of wall-clock time fit.
    std::uint64_t seed = 1; ///< Of the election timeouts.
    GroupTimings timings;
    std::size_t maxEntriesPerMessage = 2048;
    std::size_t maxBytesPerMessage = 512UL * 1024;
    std::size_t maxUnacknowledgedEntries = 32UL * 1024; ///< Sent ahead to one member.
    std::size_t snapshotChunkBytes = 256UL * 1024;
    std::size_t maxSnapshotBytes = 64UL * 1024 * 1024;
};

} // namespace cranberryreel::replication
