#pragma once

#include "replication/MemberBoot.h"
#include "replication/Membership.h"

#include <cstdint>
#include <map>
#include <string>

namespace cranberryreel::replication
{

/// A group's own replicated metadata, beside the state machine. Changed by committed entries only; part of each snapshot.
struct GroupRecord {
    Membership members;
    std::map<std::string, std::uint64_t> admittedBoots; ///< The last admitted boot of each member, by VM.
    std::uint64_t formationTerm = 0; ///< The term of the last cold start.

    bool admitted(const MemberBoot &member) const
    {
        const auto found = this->admittedBoots.find(member.vm);
        return found != this->admittedBoots.end() && found->second == member.boot;
    }
};

} // namespace cranberryreel::replication
