#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace cranberryreel::replication
{

/// The persistent state of a member; synced before any reply that depends on it.
struct HardState {
    std::uint64_t term = 0;
    std::string votedFor; ///< The VM voted for in this term; empty for none.
    bool full = false; ///< The member has been admitted and has kept its stored log since.
    std::uint64_t membersCommitted = 0; ///< Index of the last membership change known to be committed; after a restart no earlier membership needs a majority.

    bool operator==(const HardState &other) const
    {
        return std::tie(this->term, this->votedFor, this->full, this->membersCommitted)
            == std::tie(other.term, other.votedFor, other.full, other.membersCommitted);
    }
};

} // namespace cranberryreel::replication
