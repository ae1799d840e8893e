#pragma once

#include <chrono>
#include <string>

namespace cranberryreel::replication
{

/// What a leader knows about one member or standby of its group.
struct PeerHealth {
    std::string vm;
    bool voter = false; ///< A member, as opposed to a standby.
    bool counts = false; ///< Its log is admitted and has caught up: its acknowledgements count toward commits, or would as soon as it is a member.
    std::chrono::milliseconds silentFor{0}; ///< It holds all that was committed this long ago; time since the leader first sent to it if it has not caught up.
    std::chrono::milliseconds unansweredFor{0}; ///< Time since the leader sent the last message that it answered in any way, or first sent to it.

    /// Its log counts and holds all that was committed until less than this time ago.
    bool hasStoredWithin(std::chrono::milliseconds limit) const
    {
        return this->counts && this->silentFor < limit;
    }
};

} // namespace cranberryreel::replication
