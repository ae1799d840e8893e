#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "replication/Entry.h"
#include "replication/HardState.h"
#include "replication/Message.h"
#include "replication/Snapshot.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cranberryreel::replication
{

/// A read that may be answered once `index` has been applied, or that failed.
struct ReadOutcome {
    std::uint64_t id = 0;
    base::ResultCode code = base::ResultCode::Ok;
    std::uint64_t index = 0;
};

/// What the core wants done, in this order: send `messages`; write `snapshot`, `hardState` and `entries` and sync them; send `messagesAfterSync`; tell
/// Core::persisted; restore `snapshot`; apply `committed`; answer `reads`.
struct CoreOutput {
    std::vector<Message> messages;
    std::shared_ptr<const Snapshot> snapshot; ///< Received from a leader; replaces the whole log and state.
    std::optional<HardState> hardState;
    std::vector<Entry> entries; ///< The first one replaces all from its index on.
    bool mustSync = false; ///< What is written must be synced before anything further is done.
    std::vector<Message> messagesAfterSync;
    std::vector<Entry> committed;
    std::vector<ReadOutcome> reads;

    bool empty() const
    {
        return this->messages.empty() && !this->snapshot && !this->hardState && this->entries.empty() && this->messagesAfterSync.empty()
            && this->committed.empty() && this->reads.empty();
    }

    bool writes() const
    {
        return this->snapshot || this->hardState || !this->entries.empty();
    }
};

} // namespace cranberryreel::replication
