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

/// Chooses the next waiting task that has room and starts it, in the order of the shares. Owned by the planner.
class Starter
{
public:
    Starter(ZoneState &zoneState, GangReserver &gangReserver, RequestHeadroom &requestHeadroom)
        : zone(zoneState)
        , gangs(gangReserver)
        , headroom(requestHeadroom)
    {
    }

    /// Starts one task, or one whole gang; false when nothing waiting can start now.
    bool startNext(base::SteadyTime now);

    /// Gives the job that has been without room for longest a reservation, as gangs get.
    void reserveForStarving(base::SteadyTime now);

private:
    enum class Tier : std::uint8_t {
        UrgentWithinDue,
        All,
    };

    enum class Outcome : std::uint8_t {
        Started,
        NoRoom,
        HeldBack, ///< By a quota, the headroom for requests or a reservation, not by room alone.
    };

    bool startProbe(base::SteadyTime now);
    bool startTier(Tier tier, base::SteadyTime now);
    bool startFromQueue(PartnerIndex partner, model::JobKind kind, Tier tier, base::SteadyTime now);
    /// Puts first the job that fills a VM best.
    void sortByFit(std::vector<JobInSight> &sight, base::SteadyTime now) const;
    double fitValue(const JobInSight &seen) const;
    Outcome tryJob(JobIndex job, base::SteadyTime now);
    Outcome tryGang(JobIndex job, base::SteadyTime now);
    Outcome tryTask(JobIndex job, base::SteadyTime now);
    VmIndex findVm(const JobEntry &job) const;
    VmIndex findBackfill(const JobEntry &job, base::SteadyTime now) const;
    /// Whether the zone as a whole has room for it; cheap, before any VM is looked at.
    bool fitsInZone(const JobInSight &seen, model::JobKind kind) const;
    Outcome notInZone(const JobInSight &seen);
    void commit(JobIndex job, VmIndex vm, UpstreamIndex upstream, base::SteadyTime now);

    ZoneState &zone;
    GangReserver &gangs;
    RequestHeadroom &headroom;
    Demand room; ///< Of all VMs that take work, as of this pass.
    Demand spare; ///< Of that, what need not be kept for requests.
};

} // namespace cranberryreel::policy
