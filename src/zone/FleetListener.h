#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/UpstreamReport.h"
#include "zone/UpstreamEntry.h"

#include <string>

namespace cranberryreel::zone
{

/// Receives events of UpstreamFleet, on the scheduler's thread. Implemented by LeaderTerm.
class FleetListener
{
public:
    virtual ~FleetListener() = default;

    /// The upstream's record, or its readiness to take new work, may have changed; see UpstreamEntry::accepting.
    virtual void acceptanceChanged(const UpstreamEntry &entry) = 0;

    /// All runs on the upstream ended: its lease expired (then `newBoot` is empty), or it restarted with boot id `newBoot`.
    virtual void upstreamEnded(const std::string &id, const std::string &newBoot) = 0;

    /// An upstream's report. `complete` is true for the answer to a renew request sent at `askedAt` that lists every task which the upstream knew then.
    virtual void upstreamReported(const model::UpstreamReport &report, bool complete, base::SteadyTime askedAt) = 0;

    /// The upstream has seen a higher epoch than this term's.
    virtual void fencedOut(const std::string &id) = 0;
};

} // namespace cranberryreel::zone
