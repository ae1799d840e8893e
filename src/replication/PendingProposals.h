#pragma once

#include "replication/Group.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace cranberryreel::replication
{

/// The callbacks of proposals that are on their way. Owned and used by the group's own thread.
class PendingProposals
{
public:
    void add(std::uint64_t index, std::uint64_t term, Durability durability, ProposeCallback done);

    /// The entry (`index`, `term`) has been applied and gave `result`; ends its proposal, or lets it wait until `waitUntil` for a synced disk.
    void applied(std::uint64_t index, std::uint64_t term, std::string result, base::SteadyTime waitUntil);

    /// A disk has synced everything up to `index`.
    void synced(std::uint64_t index);

    /// Ends the waits for a synced disk whose time is over.
    void expire(base::SteadyTime now);

    /// Ends all: the outcome is unknown here.
    void abandon();

    bool empty() const
    {
        return this->proposals.empty() && this->awaitingDisk.empty();
    }

private:
    struct Proposal {
        std::uint64_t term = 0;
        Durability durability = Durability::Majority;
        ProposeCallback done;
    };

    struct AwaitingDisk {
        std::uint64_t index = 0;
        std::string result;
        ProposeCallback done;
        base::SteadyTime until;
    };

    std::map<std::uint64_t, Proposal> proposals; ///< By index.
    std::deque<AwaitingDisk> awaitingDisk; ///< In the order of the index.
};

} // namespace cranberryreel::replication
