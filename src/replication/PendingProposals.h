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

/// The callbacks of proposals that have no outcome yet. Owned by the GroupRunner; used by the group's own thread only.
class PendingProposals
{
public:
    void add(std::uint64_t index, std::uint64_t term, Durability durability, ProposeCallback done);

    /// Called when the entry (`index`, `term`) has been applied with `result`. Completes its proposal, or lets it wait until `waitUntil` for a synced disk.
    void completeApplied(std::uint64_t index, std::uint64_t term, std::string result, base::SteadyTime waitUntil);

    /// Called when a disk has synced everything up to `index`; completes the proposals that waited for it.
    void completeSynced(std::uint64_t index);

    /// Fails the proposals whose wait for a synced disk has timed out.
    void expire(base::SteadyTime now);

    /// Fails all proposals with GroupUnavailable, since their outcome is unknown.
    void failAll();

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
    std::deque<AwaitingDisk> awaitingDisk; ///< Ordered by index.
};

} // namespace cranberryreel::replication
