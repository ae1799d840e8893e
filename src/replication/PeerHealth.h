#pragma once

#include <chrono>
#include <string>

namespace cranberryreel::replication
{

/// What a leader knows about one member or standby of its group.
struct PeerHealth {
    std::string vm;
    bool voter = false; ///< A member, as opposed to a standby.
    bool counts = false; ///< Its log is admitted: its acknowledgements count toward commits, or would as soon as it is a member.
    std::chrono::milliseconds silentFor{0}; ///< Time since the leader sent the last message that it stored and answered; since the election if there is none.
};

} // namespace cranberryreel::replication
