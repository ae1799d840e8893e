#pragma once

#include <cstdint>
#include <string>

namespace cranberryreel::replication
{

enum class EntryKind : std::uint8_t {
    Command, ///< For the state machine.
    Barrier, ///< Opens a leader's term; carries nothing.
    Members, ///< A new membership; the payload is a GroupRecord.
    Admission, ///< One boot of a member may vote and count from here on; the payload is a GroupRecord.
    Formation, ///< Opens the term of a group formed anew from a cold start; the payload is a GroupRecord.
};

/// One place in the replicated log.
struct Entry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Command;
    std::string data;
};

} // namespace cranberryreel::replication
