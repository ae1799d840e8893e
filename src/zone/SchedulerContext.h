#pragma once

#include "base/Mailbox.h"
#include "cranberryreel/base/Clock.h"
#include "replication/Group.h"
#include "upstream/UpstreamAdapter.h"
#include "zone/SchedulerOptions.h"
#include "zone/ZoneStore.h"

#include <cstdint>
#include <functional>

namespace cranberryreel::zone
{

/// What all parts of one leader term share. The referenced objects outlive the term. `postInTerm`, which any thread may call, and `postInTermAfter` run a
/// callback on the scheduler's thread, and drop the callback if the term has ended.
struct SchedulerContext {
    const SchedulerOptions &options;
    std::uint64_t epoch = 0;
    replication::Group &group;
    upstream::UpstreamAdapter &adapter;
    ZoneStore &store;
    std::function<void(base::Mailbox::Item)> postInTerm;
    std::function<void(std::chrono::milliseconds, base::Mailbox::Item)> postInTermAfter;

    /// True while this member provably leads the zone group. Start, stop and renew requests are sent only then.
    bool holdsLeaderLease() const
    {
        return this->group.holdsLease(base::steadyNow());
    }
};

} // namespace cranberryreel::zone
