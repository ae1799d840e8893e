#pragma once

#include "replication/Standing.h"

#include "cranberryreel/base/Clock.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::replication
{

/// A leader's replication state of one other member. Owned by the core; created anew in each term.
struct MemberProgress {
    std::uint64_t boot = 0; ///< The boot that answered last; 0 until the member has answered.
    std::vector<std::uint64_t> earlierBoots; ///< Earlier boots, whose late answers are ignored.
    Standing standing = Standing::Blank;
    std::uint64_t match = 0; ///< Highest index up to which the member's log matches the leader's.
    std::uint64_t next = 1; ///< Index of the next entry to send.
    bool probing = true; ///< The last matching index is not known yet; one message is sent at a time.
    std::int64_t answeredSendTime = 0; ///< Sending time, in steady nanoseconds, of the latest of the leader's messages that the member answered.
    base::SteadyTime followsSince; ///< When the leader began to send to the member, or when an earlier leader last saw it store what it sent.
    base::SteadyTime storedUntil; ///< The member holds all that was committed at this time; not set until it counts and has caught up.
    std::uint64_t nextTarget = 0; ///< Once the member holds this index, storedUntil is nextTargetAt.
    base::SteadyTime nextTargetAt;
    std::uint64_t admissionIndex = 0; ///< Index of the proposed admission of `boot`; 0 for none.

    std::shared_ptr<const std::string> snapshot; ///< The encoded snapshot being sent; null for none.
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotTerm = 0;
    std::uint64_t snapshotOffset = 0;
    base::SteadyTime chunkSentAt;

    /// Since then the member is not known to have stored what was committed.
    base::SteadyTime silentSince() const
    {
        return std::max(this->storedUntil, this->followsSince);
    }
};

} // namespace cranberryreel::replication
