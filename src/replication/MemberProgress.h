#pragma once

#include "replication/Standing.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::replication
{

/// What a leader knows of one other member. Owned by the core, new with each term.
struct MemberProgress {
    std::uint64_t boot = 0; ///< 0 until the member has answered.
    std::vector<std::uint64_t> earlierBoots; ///< Their late answers are ignored.
    Standing standing = Standing::Blank;
    std::uint64_t match = 0; ///< The member holds the leader's log up to here.
    std::uint64_t next = 1; ///< The next entry to send.
    bool probing = true; ///< The place where the logs part is not known yet: one message at a time.
    std::int64_t answered = 0; ///< Steady time, in nanoseconds, of the newest of the leader's messages that the member answered.
    std::uint64_t admissionIndex = 0; ///< Where the leader proposed to admit `boot`; 0 for nowhere.

    std::shared_ptr<const std::string> snapshot; ///< Being sent; null for none.
    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotTerm = 0;
    std::uint64_t snapshotOffset = 0;
    base::SteadyTime chunkSentAt;
};

} // namespace cranberryreel::replication
