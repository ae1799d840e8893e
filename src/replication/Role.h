#pragma once

#include <cstdint>

namespace cranberryreel::replication
{

enum class Role : std::uint8_t {
    Follower,
    PreCandidate, ///< Asks whether it would win.
    Candidate,
    Former, ///< Asks for a cold start.
    Leader,
};

} // namespace cranberryreel::replication
