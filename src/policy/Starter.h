#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/GangReserver.h"
#include "policy/Ids.h"
#include "policy/RequestHeadroom.h"
#include "policy/ZoneState.h"

#include <cstdint>
#include <vector>

namespace cranberryreel::policy
{

/// Starts waiting tasks that fit, in the order of the fair shares. Owned by the planner; used by its thread only.
class Starter
{
public:
    Starter(ZoneState &zoneState, GangReserver &reserver, RequestHeadroom &headroomTracker)
        : zone(zoneState)
        , gangReserver(reserver)
        , headroom(headroomTracker)
    {
    }

    /// Starts one task or one whole gang; returns false if no waiting task can start now.
    bool startNext(base::SteadyTime now);

    /// Reserves capacity, as for a gang, for a job whose tasks have found none for a long time.
    void reserveForStarving(base::SteadyTime now);

private:
    enum class Tier : std::uint8_t {
        UrgentWithinFairShare,
        All,
    };

    enum class Outcome : std::uint8_t {
        Started,
        NoCapacity,
        Deferred, ///< By a quota, the request headroom or a reservation, not by lack of capacity alone.
    };

    bool startProbe(base::SteadyTime now);
    bool startTier(Tier tier, base::SteadyTime now);
    bool startFromQueue(PartnerIndex partner, model::JobKind kind, Tier tier, base::SteadyTime now);
    /// Sorts the jobs by how well they fill a VM, best first.
    void sortByFit(std::vector<LookaheadJob> &lookahead, base::SteadyTime now) const;
    double fitScore(const LookaheadJob &candidate) const;
    Outcome tryJob(JobIndex job, base::SteadyTime now);
    Outcome tryGang(JobIndex job, base::SteadyTime now);
    Outcome tryTask(JobIndex job, base::SteadyTime now);
    VmIndex findVm(const JobEntry &job) const;
    VmIndex findBackfillVm(const JobEntry &job, base::SteadyTime now) const;
    /// Whether the zone as a whole has the free capacity; a cheap check before any VM is considered.
    bool fitsInZone(const LookaheadJob &candidate, model::JobKind kind) const;
    Outcome outcomeWithoutCapacity(const LookaheadJob &candidate);
    void startTask(JobIndex job, VmIndex vm, UpstreamIndex upstream, base::SteadyTime now);

    ZoneState &zone;
    GangReserver &gangReserver;
    RequestHeadroom &headroom;
    Demand freeCapacity; ///< Of all VMs that accept work, as of the present pass.
    Demand capacityBeyondHeadroom; ///< The part of freeCapacity that is not kept as request headroom.
};

} // namespace cranberryreel::policy
