#pragma once

#include "replication/CoreOutput.h"

#include "cranberryreel/base/ResultCode.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace cranberryreel::replication
{

/// The callbacks of linearizable reads: each first waits for its index from the core, then until this member has applied that index. Owned by the
/// GroupRunner; used by the group's own thread only.
class PendingReads
{
public:
    using Callback = std::function<void(base::ResultCode)>;

    /// Returns the id for Core::read.
    std::uint64_t add(Callback done);

    /// Takes the core's outcome of a read; `applied` is this member's last applied index.
    void handleOutcome(const ReadOutcome &outcome, std::uint64_t applied);
    void completeApplied(std::uint64_t index);

    /// Fails all reads with GroupUnavailable.
    void failAll();

private:
    struct AwaitingApply {
        std::uint64_t index = 0;
        Callback done;
    };

    std::uint64_t lastId = 0;
    std::map<std::uint64_t, Callback> awaitingIndex; ///< By id of the read.
    std::vector<AwaitingApply> awaitingApply;
};

} // namespace cranberryreel::replication
