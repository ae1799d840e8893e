#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace cranberryreel::replication
{

/// What a member must not forget between two messages; synced before any answer that depends on it.
struct HardState {
    std::uint64_t term = 0;
    std::string votedFor; ///< In this term; empty for nobody.
    bool full = false; ///< It has been admitted and has kept its memory since.
    std::uint64_t membersCommitted = 0; ///< Index of the last change of members known to be committed: a restart need not ask the members before it, too.

    bool operator==(const HardState &other) const
    {
        return std::tie(this->term, this->votedFor, this->full, this->membersCommitted)
            == std::tie(other.term, other.votedFor, other.full, other.membersCommitted);
    }
};

} // namespace cranberryreel::replication
