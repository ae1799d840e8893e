#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Ids.h"
#include "policy/ZoneState.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <vector>

namespace cranberryreel::policy
{

/// Starts the tasks of a gang all at once. For one job at a time that does not fit, reserves VMs: new work is kept off them unless it ends before the job is
/// expected to start. As only one job has a reservation, gangs never hold parts of what each other needs. A reservation ends when the job is long overdue, for
/// as long as it lasted: what the job waits for may never end. Owned by the planner; used by its thread only.
class GangReserver
{
public:
    explicit GangReserver(ZoneState &zoneState)
        : zone(zoneState)
    {
    }

    /// Starts all waiting tasks of the job if they all fit now, else none; returns whether they started.
    bool startGang(JobIndex job, base::SteadyTime now);

    /// Reserves VMs for the job, unless another job has a reservation.
    void reserve(JobIndex job, base::SteadyTime now);

    /// Starts the reserved job once all its tasks fit, and moves the reservation where capacity becomes free sooner. Returns whether the job started.
    bool advance(base::SteadyTime now);

    void cancelReservation(JobIndex job);

    JobIndex reservedJob() const
    {
        return this->job;
    }

    base::SteadyTime expectedStart() const
    {
        return this->expectedStartAt;
    }

    std::size_t reservedVmCount() const
    {
        return this->reservedVms.size();
    }

    /// Call when capacity on a VM was taken.
    void capacityTaken(VmIndex vm);

private:
    struct PlannedTask {
        VmIndex vm = NoIndex;
        UpstreamIndex upstream = NoIndex;
        std::uint32_t task = 0;
    };

    struct CapacityEvent {
        base::SteadyTime at;
        VmIndex vm = NoIndex;
        std::uint32_t tasks = 0; ///< How many more tasks of the job fit from then on.

        bool operator<(const CapacityEvent &other) const
        {
            return std::tie(this->at, this->vm) < std::tie(other.at, other.vm);
        }
    };

    std::uint32_t requiredTasks() const;
    std::uint32_t tasksThatFit(VmIndex vm) const;
    void beginScan();

    /// Scans the next slice of VMs, and chooses the VMs to reserve after the last slice. Returns false if the zone cannot hold the job even when all running
    /// tasks end.
    bool scanSlice(base::SteadyTime now);
    bool chooseVms(base::SteadyTime now);
    void addCapacityEvent(const CapacityEvent &event);
    void collectCapacityEvents(VmIndex vm, base::SteadyTime now);
    void updateFitCounts();
    void startOnReservedVms();
    void releaseReservation();
    void yieldReservation(base::SteadyTime now);

    ZoneState &zone;
    JobIndex job = NoIndex;
    base::SteadyTime expectedStartAt;
    base::SteadyTime chosenAt;
    base::SteadyTime reservedSince;
    base::SteadyTime reservedUntil; ///< Set by the first scan of the reservation, and not extended by later ones.
    base::SteadyTime lastScanAt;
    VmIndex nextScannedVm = NoIndex; ///< The next VM to scan; NoIndex between scans.
    std::vector<CapacityEvent> earliestEvents; ///< A max-heap by time: the earliest events of this scan that together free enough capacity.
    std::uint64_t earliestTasks = 0;
    std::uint64_t countedVersion = 0;
    std::uint64_t totalFits = 0;
    absl::btree_map<VmIndex, std::uint32_t> reservedVms; ///< How many tasks fit on each reserved VM now.
};

} // namespace cranberryreel::policy
