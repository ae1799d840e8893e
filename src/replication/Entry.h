#pragma once

#include <cstdint>
#include <string>

namespace cranberryreel::replication
{

enum class EntryKind : std::uint8_t {
    Command, ///< A command for the state machine.
    Barrier, ///< First entry of a leader's term; empty payload.
    Members, ///< A new membership; the payload is a GroupRecord.
    Admission, ///< From this entry on one boot of a member may vote and counts toward commits; the payload is a GroupRecord.
    Formation, ///< First entry of the term after a cold start; the payload is a GroupRecord.
};

/// One entry of the replicated log.
struct Entry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Command;
    std::string data;
};

} // namespace cranberryreel::replication
