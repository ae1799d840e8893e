#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "replication/Entry.h"
#include "replication/HardState.h"
#include "replication/Message.h"
#include "replication/Snapshot.h"
#include "replication/VoteRefusal.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::replication
{

/// The outcome of a linearizable read: Ok once `index` has been applied here, otherwise the error.
struct ReadOutcome {
    std::uint64_t id = 0;
    base::ResultCode code = base::ResultCode::Ok;
    std::uint64_t index = 0;
};

/// A request for a vote or a pre-vote that was not granted.
struct RefusedVote {
    std::string candidate; ///< VM.
    VoteRefusal reason = VoteRefusal::None;
};

/// The actions that the core requests, in this order: send `messages`; write and sync `snapshot`, `hardState` and `entries`; send `messagesAfterSync`; call
/// Core::markSynced; restore `snapshot`; apply `committed`; answer `reads`.
struct CoreOutput {
    std::vector<Message> messages;
    std::shared_ptr<const Snapshot> snapshot; ///< Received from a leader, or empty after a reset; replaces the whole log and state.
    std::optional<HardState> hardState;
    std::vector<Entry> entries; ///< The first one replaces all stored entries from its index on.
    bool mustSync = false; ///< The written data must be synced before the next action.
    std::vector<Message> messagesAfterSync;
    std::vector<Entry> committed;
    std::vector<ReadOutcome> reads;
    std::vector<RefusedVote> refusedVotes; ///< For the log only.

    bool empty() const
    {
        return this->messages.empty() && !this->snapshot && !this->hardState && this->entries.empty() && this->messagesAfterSync.empty()
            && this->committed.empty() && this->reads.empty() && this->refusedVotes.empty();
    }

    bool hasWrites() const
    {
        return this->snapshot || this->hardState || !this->entries.empty();
    }
};

} // namespace cranberryreel::replication
