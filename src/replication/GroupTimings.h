#pragma once

#include <chrono>

namespace cranberryreel::replication
{

/// Timings of one group. All its members must use the same.
struct GroupTimings {
    std::chrono::milliseconds heartbeat{150};
    std::chrono::milliseconds electionMin{500}; ///< A member that had contact with a leader within this time grants no vote.
    std::chrono::milliseconds electionMax{900};
    std::chrono::milliseconds driftMargin{100}; ///< The lease ends this long before another member may grant a vote; covers clock drift.
    std::chrono::milliseconds restartGrace{
        1000}; ///< How long a member restarted from its disk waits for a leader before it trusts its disk; at least electionMax.
    std::chrono::milliseconds formationSettle{1000}; ///< Time without a leader before a cold start with all members present; at least electionMax.
    std::chrono::milliseconds formationPatience{10000}; ///< Time without a leader before a cold start while members without a disk are absent.
    std::chrono::milliseconds requestLimit{1000}; ///< Limit after which a read or a wait for a synced disk fails with GroupUnavailable.

    /// Duration of the leader lease, counted from the sending of a message that a majority answered.
    std::chrono::milliseconds lease() const
    {
        return this->electionMin - this->driftMargin;
    }
};

} // namespace cranberryreel::replication
