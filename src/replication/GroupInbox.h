#pragma once

#include "replication/Group.h"
#include "replication/Member.h"

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/base/ResultCode.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::replication
{

/// Work that other threads have queued for the group's own thread. Owned by the GroupRunner and guarded by its mutex.
struct GroupInbox {
    struct Proposal {
        std::string command;
        Durability durability = Durability::Majority;
        ProposeCallback done;
    };

    struct MembersChange {
        std::vector<Member> members;
        ProposeCallback done;
    };

    std::vector<std::pair<std::string, std::string>> received; ///< Sender's VM and message bytes.
    std::size_t receivedBytes = 0;
    std::vector<Proposal> proposals;
    std::size_t commandBytes = 0; ///< Of the proposals.
    std::vector<std::function<void(base::ResultCode)>> reads;
    std::vector<MembersChange> changes;
    std::optional<std::set<std::string>> standbys;
    std::uint64_t raiseTermTo = 0;
    std::optional<base::SteadyTime> stopBy;

    /// Fails all queued requests because the member stops: proposals and changes with NotLeader, reads with GroupUnavailable.
    void rejectAll() const;

    bool empty() const
    {
        return this->received.empty() && this->proposals.empty() && this->reads.empty() && this->changes.empty() && !this->standbys && this->raiseTermTo == 0
            && !this->stopBy;
    }
};

} // namespace cranberryreel::replication
