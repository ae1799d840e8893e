#pragma once

#include "cell/planning/PlacementRules.h"
#include "cell/planning/PlanInput.h"
#include "cell/planning/Preemptor.h"
#include "cell/planning/ServicePool.h"
#include "cell/planning/SpeedPlacement.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::cell::planning
{

/// When the answer to a query is needed.
enum class QueryTiming : std::uint8_t {
    Immediate, ///< Free capacity is waiting for the tickets.
    Prefetch ///< Earlier steps wait for the capacity that is free now; the tickets serve capacity that becomes free later.
};

/// One query for the advice service about a step.
struct AdviceQuery {
    StepKey step;
    std::string queue;
    bool quick = false; ///< The service answers in tens of milliseconds, and callers wait for the answer.
    QueryTiming timing = QueryTiming::Immediate;
    std::vector<std::uint64_t> upstreams; ///< Upstreams to ask about, preferred ones first.
    std::uint32_t tasks = 0; ///< Tasks expected to start with its tickets.
    std::chrono::milliseconds expectedDuration{0}; ///< Time that the service needs for the answer.
    std::chrono::milliseconds ticketLifetime{0}; ///< How long the service accepts its tickets.
};

/// Decides what to ask the advice service, which is scarce: it serves one call per VM at a time, each for up to a second, and its tickets expire within two
/// seconds. Load pattern: a burst leaves hundreds of steps waiting for the same capacity. If all of them query at once, and about the emptiest upstreams first,
/// nearly all tickets expire unused, are queried again, and delay steps that could start. So a step names as many upstreams as its tasks are likely to need,
/// and other ones than the steps before it; queries for capacity that earlier steps wait for come last. Not thread-safe; made anew for each plan.
class AdviceQueryPlanner
{
public:
    AdviceQueryPlanner(const PlanInput &planInput, const PlacementRules &placementRules, Preemptor &workPreemptor, const SpeedPlacement &placementBySpeed);

    /// Reserves the capacity that the pending query of the step is about; does nothing when no query is pending.
    void reserveForPendingQuery(const ReadyStep &ready, ServicePool &pool, CapacityTable &capacities) const;

    /// The query for the `unplaced` tasks of a step; empty when an answer would not help now.
    std::optional<AdviceQuery> planQuery(const ReadyStep &ready, std::uint32_t unplaced, ServicePool &pool) const;

    /// The same for a gang or a step with large tasks; `reserved` holds the upstreams reserved for it.
    std::optional<AdviceQuery>
    planLargeQuery(const ReadyStep &ready, std::uint32_t unplaced, const ServicePool &pool, const std::vector<UpstreamCapacity *> &reserved) const;

private:
    /// The upstreams that may run the step, grouped by what earlier advice says of them.
    struct UpstreamGroups {
        std::vector<UpstreamCapacity *> withoutTicket; ///< With free capacity and allowed, but without a usable ticket.
        std::vector<UpstreamCapacity *> full; ///< Without free capacity, and either allowed without a usable ticket or never queried.
        std::vector<UpstreamCapacity *> notQueried; ///< With free capacity, and never queried for this step.
        std::uint32_t tasksWithTicket = 0; ///< Tasks that fit on upstreams with a usable ticket.
        std::size_t allowedCount = 0; ///< Allowed upstreams that are large enough for a task, full ones included.
    };

    /// Returns the capacity of an upstream that the queried tasks can count on.
    using AvailableCapacity = std::function<Capacity(const UpstreamCapacity &)>;

    std::vector<UpstreamCapacity *>
    chooseUpstreams(const ReadyStep &ready, std::uint32_t tasks, const ServicePool &pool, const AvailableCapacity &availableOn) const;
    bool mayQuery(const ReadyStep &ready) const;
    std::vector<UpstreamCapacity *> chooseForLargeWork(const ReadyStep &ready, const ServicePool &pool, const std::vector<UpstreamCapacity *> &reserved) const;
    UpstreamGroups groupUpstreams(const ReadyStep &ready, std::uint32_t tasks, const ServicePool &pool, const AvailableCapacity &availableOn) const;
    void sortByPreference(const ReadyStep &ready, const ServicePool &pool, UpstreamGroups &groups) const;
    bool asksForAll(const ReadyStep &ready, const ServicePool &pool) const;
    void addFull(const ReadyStep &ready, const UpstreamGroups &groups, std::vector<UpstreamCapacity *> &chosen) const;
    void addNotQueried(const ReadyStep &ready,
                       std::uint32_t tasks,
                       const UpstreamGroups &groups,
                       const AvailableCapacity &availableOn,
                       std::vector<UpstreamCapacity *> &chosen) const;
    AdviceQuery buildQuery(const ReadyStep &ready, std::uint32_t tasks, const std::vector<UpstreamCapacity *> &chosen, QueryTiming timing) const;

    const PlanInput &input;
    const PlacementRules &rules;
    Preemptor &preemptor;
    const SpeedPlacement &speedPlacement;
};

} // namespace cranberryreel::cell::planning
