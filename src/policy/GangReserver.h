#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Ids.h"
#include "policy/ZoneState.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <vector>

namespace cranberryreel::policy
{

/// Starts gangs all at once, and holds VMs for one job at a time that needs more room together than there is: new work is kept off them, but for work that
/// ends before the job is expected to start. No gang ever holds some of its tasks' room while it waits for another gang. Owned by the planner.
class GangReserver
{
public:
    explicit GangReserver(ZoneState &zoneState)
        : zone(zoneState)
    {
    }

    /// Starts all waiting tasks of the job if they fit now, else none.
    bool startWhole(JobIndex job, base::SteadyTime now);

    /// Holds VMs for the job, where no other job has a reservation.
    void reserve(JobIndex job, base::SteadyTime now);

    /// Starts the reserved job once its room is together; moves the reservation where room comes free sooner. Returns whether it started.
    bool advance(base::SteadyTime now);

    void drop(JobIndex job);

    JobIndex holder() const
    {
        return this->job;
    }

    base::SteadyTime neededAt() const
    {
        return this->needed;
    }

    std::size_t heldVms() const
    {
        return this->held.size();
    }

    /// Call when room on a VM was taken.
    void roomTaken(VmIndex vm);

private:
    struct Planned {
        VmIndex vm = NoIndex;
        UpstreamIndex upstream = NoIndex;
        std::uint32_t task = 0;
    };

    struct RoomEvent {
        base::SteadyTime at;
        VmIndex vm = NoIndex;
        std::uint32_t tasks = 0; ///< How many more tasks of the job fit then.

        bool operator<(const RoomEvent &other) const
        {
            return std::tie(this->at, this->vm) < std::tie(other.at, other.vm);
        }
    };

    std::uint32_t wanted() const;
    std::uint32_t fitting(VmIndex vm) const;
    void beginSweep();

    /// Looks at some more VMs, and chooses anew once all were seen. False when the zone cannot hold the job even in time.
    bool sweep(base::SteadyTime now);
    bool choose(base::SteadyTime now);
    void addEvent(const RoomEvent &event);
    void roomEvents(VmIndex vm, base::SteadyTime now);
    void updateFits();
    void startOnHeld();
    void releaseAll();

    ZoneState &zone;
    JobIndex job = NoIndex;
    base::SteadyTime needed;
    base::SteadyTime chosenAt;
    base::SteadyTime sweptAt;
    VmIndex sweptTo = NoIndex; ///< The next VM to look at; NoIndex between sweeps.
    std::vector<RoomEvent> earliest; ///< A heap with the latest on top: the earliest events of the sweep that together give enough room.
    std::uint64_t earliestTasks = 0;
    std::uint64_t seenVersion = 0;
    std::uint64_t fitsTotal = 0;
    absl::btree_map<VmIndex, std::uint32_t> held; ///< How many tasks fit on each held VM now.
};

} // namespace cranberryreel::policy
