#pragma once

#include <chrono>
#include <string>

namespace cranberryreel::replication
{

/// What a leader knows about one member of its group.
struct PeerHealth {
    std::string vm;
    bool counts = false; ///< Its log is admitted, so its acknowledgements count toward commits.
    std::chrono::milliseconds silentFor{0}; ///< Time since the leader sent the last message that it stored and answered; since the election if there is none.
};

} // namespace cranberryreel::replication
