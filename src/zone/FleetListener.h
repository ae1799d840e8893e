#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/UpstreamReport.h"
#include "zone/UpstreamEntry.h"

#include <string>

namespace cranberryreel::zone
{

/// What UpstreamFleet tells the rest of the scheduler, on the scheduler's thread.
class FleetListener
{
public:
    virtual ~FleetListener() = default;

    /// The upstream may take new work now, or no longer.
    virtual void acceptanceChanged(const UpstreamEntry &entry) = 0;

    /// All that ran there ended: its lease is over, or it restarted (then `newBoot` names its new life).
    virtual void upstreamEnded(const std::string &id, const std::string &newBoot) = 0;

    /// A report. `complete`: the answer to a call sent at `askedAt`, which lists every task that the upstream knew then.
    virtual void upstreamReported(const model::UpstreamReport &report, bool complete, base::SteadyTime askedAt) = 0;

    /// The upstream has seen a higher epoch than ours.
    virtual void fencedOut(const std::string &id) = 0;
};

} // namespace cranberryreel::zone
