#pragma once

#include <cstdint>

namespace cranberryreel::replication
{

enum class Role : std::uint8_t {
    Follower,
    PreCandidate, ///< Runs a pre-vote round.
    Candidate,
    Forming, ///< Asks the members present to form the group in a cold start.
    Leader,
};

} // namespace cranberryreel::replication
