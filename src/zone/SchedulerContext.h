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

/// What every part of one term of the active scheduler works with. References outlive the term; `guard` makes a callback run on the scheduler's thread, and
/// only while the term lasts.
struct SchedulerContext {
    const SchedulerOptions &options;
    std::uint64_t epoch = 0;
    replication::Group &group;
    upstream::UpstreamAdapter &adapter;
    ZoneStore &store;
    std::function<void(base::Mailbox::Item)> guard;
    std::function<void(std::chrono::milliseconds, base::Mailbox::Item)> guardAfter;

    bool mayAct() const
    {
        return this->group.holdsLease(base::steadyNow());
    }
};

} // namespace cranberryreel::zone
