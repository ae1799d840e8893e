#pragma once

#include <cstdint>

namespace cranberryreel::replication
{

/// Why a member did not grant its vote.
enum class VoteRefusal : std::uint8_t {
    None,
    LeaderActive, ///< It has recent contact with a leader.
    StaleTerm, ///< The candidate's term is not higher than its own, or it is itself a candidate or leader in that term.
    NotAdmitted, ///< Its own log does not count yet.
    AlreadyVoted, ///< It voted for another candidate in this term.
    LogBehind, ///< The candidate's log is behind its own.
    BelowVoteFloor, ///< The candidate's log is behind one that it knew of when it trusted its disk without a leader.
    RolledBack, ///< The candidate's log is behind what the candidate once acknowledged.
};

/// The name used in logs, such as "log_behind".
const char *nameOf(VoteRefusal reason);

} // namespace cranberryreel::replication
