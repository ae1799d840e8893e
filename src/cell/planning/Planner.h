#pragma once

#include "cell/planning/AdviceQueryPlanner.h"
#include "cell/planning/LargeWorkReserver.h"
#include "cell/planning/PlacementCandidate.h"
#include "cell/planning/PlacementRules.h"
#include "cell/planning/PlanInput.h"
#include "cell/planning/Preemptor.h"
#include "cell/planning/ReadySteps.h"
#include "cell/planning/ServicePool.h"
#include "cell/planning/SpeedPlacement.h"
#include "cell/planning/UpstreamCapacity.h"
#include "cell/planning/WaitReason.h"
#include "cell/teams/TeamLedger.h"
#include "cell/teams/TeamUse.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::cell::planning
{

/// The planned start of one attempt of a task.
struct PlannedStart {
    TaskKey task;
    std::uint32_t attempt = 0;
    std::uint64_t upstream = 0;
};

/// The decisions of one plan.
struct Plan {
    std::vector<PlannedStart> starts;
    std::vector<RunKey> preemptions; ///< Runs to stop for work of a higher priority.
    std::vector<AdviceQuery> adviceQueries; ///< In the order in which the steps are served.
    std::vector<ServiceLoad> loads; ///< One entry for each service.
    std::vector<WaitingStep> waiting; ///< Steps with tasks that start nowhere, in the order in which the steps are served.
    std::vector<teams::TeamUse> teams; ///< Once the plan is carried out; empty where the rules have no teams.
    Capacity cellTotal; ///< Capacity of all upstreams, where the rules have teams.
};

/// Decides which waiting tasks start on which upstreams. Reads the replicated state and does no I/O. Used on the scheduler's thread; made anew for each plan.
/// Load pattern: three kinds of work share the upstreams. Quick work (priority 0) comes in bursts and must start at once, so other work leaves headroom for it.
/// Fillers never share an upstream with tasks that serve users, since they would slow those down. All tasks of a gang start together or none does. A zone that
/// is cut off must not delay jobs of other zones, so a job stays in its submitter's zone while there is free capacity. Small work that keeps all upstreams
/// partly used would starve gangs and tasks that need most of an upstream, so small work on accelerators goes where the least capacity is free, and large work
/// that does not fit reserves upstreams for a time (LargeWorkReserver).
class Planner
{
public:
    explicit Planner(const PlanInput &planInput);

    /// Makes the plan; called once.
    Plan makePlan();

private:
    using Candidate = PlacementCandidate;

    void reserveForPendingQueries(const std::vector<ReadyStep> &waiting);
    void planStep(const ReadyStep &ready, ServicePool &pool);
    std::optional<AdviceQuery> planAdviceQuery(const ReadyStep &ready, std::uint32_t startable, ServicePool &pool);
    std::vector<std::uint32_t> place(const ReadyStep &ready, ServicePool &pool);
    std::string preferredRack(const ReadyStep &ready, const ServicePool &pool);
    std::vector<Candidate> candidatesFor(const ReadyStep &ready, ServicePool &pool);
    UpstreamCapacity *bestUpstream(const ReadyStep &ready, std::uint32_t task, const std::vector<Candidate> &candidates) const;
    std::vector<std::uint32_t> placeTasks(const ReadyStep &ready, ServicePool &pool);
    std::vector<std::uint32_t> placeGang(const ReadyStep &ready, ServicePool &pool);
    bool fitsWhenDrained(const ReadyStep &ready, const ServicePool &pool) const;
    WaitReason waitReason(const ReadyStep &ready, const ServicePool &pool, const std::optional<AdviceQuery> &query) const;
    std::optional<AdviceQuery> reserveForLargeWork(const ReadyStep &ready, std::uint32_t unplaced, ServicePool &pool, WaitReason &reason);
    void planStart(const ReadyStep &ready, std::uint32_t task, std::uint32_t attempt, UpstreamCapacity &capacity, ServicePool &pool);
    void undoStarts(const ReadyStep &ready, std::size_t firstUndone, ServicePool &pool);

    const PlanInput &input;
    CapacityTable capacities;
    std::map<std::string, ServicePool> pools;
    SpeedPlacement speedPlacement;
    PlacementRules rules;
    teams::TeamLedger ledger;
    Preemptor preemptor;
    AdviceQueryPlanner queryPlanner;
    LargeWorkReserver largeWork;
    std::set<StepKey> blockedSteps; ///< Steps of which some portion was not placed; their later portions are skipped.
    Plan plan;
};

} // namespace cranberryreel::cell::planning
