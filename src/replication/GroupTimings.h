#pragma once

#include <chrono>

namespace cranberryreel::replication
{

/// The times of one group, the same on all its members.
struct GroupTimings {
    std::chrono::milliseconds heartbeat{150};
    std::chrono::milliseconds electionMin{500}; ///< A member that heard from a leader within it grants no vote.
    std::chrono::milliseconds electionMax{900};
    std::chrono::milliseconds driftMargin{100}; ///< By how much a lease ends before a member elsewhere may grant a vote.
    std::chrono::milliseconds restartGrace{
        1000}; ///< How long a member restarted from its disk waits for a leader before it trusts its disk; electionMax at least.
    std::chrono::milliseconds formationSettle{1000}; ///< How long no leader is heard before a cold start with all members present; electionMax at least.
    std::chrono::milliseconds formationPatience{10000}; ///< The same when members without a disk are absent.
    std::chrono::milliseconds requestLimit{1000}; ///< After it a read, or a wait for a synced disk, ends with GroupUnavailable.

    /// How long after sending a message that a majority answered the leader may count on leading.
    std::chrono::milliseconds lease() const
    {
        return this->electionMin - this->driftMargin;
    }
};

} // namespace cranberryreel::replication
