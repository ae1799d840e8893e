#include "replication/VoteRefusal.h"

namespace cranberryreel::replication
{

const char *nameOf(VoteRefusal reason)
{
    switch (reason) {
    case VoteRefusal::None:
        return "none";
    case VoteRefusal::LeaderActive:
        return "leader_active";
    case VoteRefusal::StaleTerm:
        return "stale_term";
    case VoteRefusal::NotAdmitted:
        return "not_admitted";
    case VoteRefusal::AlreadyVoted:
        return "already_voted";
    case VoteRefusal::LogBehind:
        return "log_behind";
    case VoteRefusal::BelowVoteFloor:
        return "below_vote_floor";
    case VoteRefusal::RolledBack:
        return "rolled_back";
    }
    return "unknown";
}

} // namespace cranberryreel::replication
