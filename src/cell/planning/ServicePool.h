#pragma once

#include "cell/planning/Capacity.h"
#include "cell/planning/FastCapacity.h"
#include "cell/planning/ReadySteps.h"
#include "cell/planning/UpstreamCapacity.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::cell::planning
{

/// The load of one service once the plan is carried out.
struct ServiceLoad {
    std::string service;
    Capacity usable; ///< Total capacity of the usable upstreams.
    Capacity drained; ///< The same without what tasks that last use: all that can become free by itself.
    Capacity free; ///< Free capacity of the usable upstreams.
    std::size_t runs = 0; ///< Runs recorded before this plan.
    std::size_t urgentWaiting = 0; ///< Tasks of priority 0 that are ready to start and were not placed.
    std::size_t otherWaiting = 0; ///< The same for all other priorities.
};

/// The upstreams of one service. Services share no upstream, so headroom, load and reservations are kept for each service: a full one delays no other. Owned by
/// the Planner, for one plan.
struct ServicePool {
    std::vector<UpstreamCapacity *> capacities; ///< Ordered by upstream number; owned by the CapacityTable.
    std::size_t usableUpstreams = 0;
    Capacity unreserved; ///< Free capacity, less what steps with a pending advice query are expected to use.
    /// Free or reclaimable capacity, less the needs of the waiting large work admitted in this plan; empty until the first of it.
    std::optional<Capacity> largeWorkBudget;
    bool servesLargeWork = false; ///< Some large work earlier in the order has reserved upstreams, or asks for tickets.
    bool servesUrgent = false; ///< Some queue of priority 0 sends work to this service.
    std::optional<FastCapacity> fast; ///< Set where placement considers speed.
    ServiceLoad load;

    /// Whether a task of the step takes more than half of an average upstream, so that small tasks on every upstream could keep it waiting for ever.
    bool isLargeTask(const wire::StepT &step) const;

    /// Whether under half of each resource of the usable upstreams is in use.
    bool isMostlyFree() const;

    /// Processor time that work of other priorities leaves free for urgent work, in thousandths of a core: at most half of what can become free. Where
    /// placement considers speed, it follows from observed use.
    std::int64_t headroomCpuMillis() const;
};

/// Whether no headroom keeps the waiting task from starting: it is urgent or a restart, or its step is so large that it could never leave the headroom, even
/// with all else of the service done.
bool mayUseHeadroom(const ReadyStep &ready, std::uint32_t task, const ServicePool &pool);

/// The number of waiting tasks for which that holds.
std::uint32_t countInHeadroom(const ReadyStep &ready, const ServicePool &pool);

/// Whether the headroom for urgent work remains when the waiting task starts, or need not remain.
bool leavesHeadroom(const ReadyStep &ready, std::uint32_t task, const ServicePool &pool);

/// The pools, by service, of all services named by the rules or by upstreams.
std::map<std::string, ServicePool> servicePools(const CellState &state, CapacityTable &capacities);

} // namespace cranberryreel::cell::planning
