#pragma once

#include "cell/planning/DeadlineEstimator.h"
#include "cell/planning/PlanInput.h"
#include "cell/planning/ReadySteps.h"
#include "cell/planning/ServicePool.h"
#include "cell/planning/UpstreamCapacity.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cranberryreel::cell::planning
{

/// Frees capacity for work of a higher priority by stopping work that saves its progress when stopped, so that next to no progress is lost.
/// Load pattern: gangs that need whole upstreams find single tasks on each of them, and waiting for those to end takes longer than the gang's objective. A run
/// is preempted only when its own job has slack time. Not thread-safe; made anew for each plan, and examines the runs only once a gang was not placed.
class Preemptor
{
public:
    Preemptor(const PlanInput &planInput, CapacityTable &capacityTable);

    /// Capacity on the upstream that is free, becomes free by pending stops, or can be freed for the step by preemption.
    Capacity reclaimableCapacity(const ReadyStep &ready, const UpstreamCapacity &capacity);

    /// Whether reclaimableCapacity() for the step counts the run's capacity as had: it is being stopped, or can be preempted for the step.
    bool isReclaimable(const ReadyStep &ready, const UpstreamCapacity &capacity, const RunKey &run);

    /// The number of runs to stop so that one more task of the step fits; empty when no number suffices.
    std::optional<std::size_t> preemptionCost(const ReadyStep &ready, const UpstreamCapacity &capacity);

    /// Chooses the runs to stop for one more task of the step and reserves the freed capacity for it; false, without any choice, when no number of runs
    /// suffices.
    bool preemptFor(const ReadyStep &ready, UpstreamCapacity &capacity);

    /// The runs chosen by preemptFor(); later calls return none.
    std::vector<RunKey> takePreemptions();

private:
    /// A run that may be preempted.
    struct Victim {
        RunKey run;
        int priority = 0;
        int percent = 0; ///< Progress, 0 to 100.
        const wire::StepT *step = nullptr;
        std::chrono::milliseconds slackTime{0}; ///< How long its job can wait.
    };

    static bool canPreempt(const Victim &victim, const ReadyStep &ready);

    /// Indices of the fewest runs on the upstream to stop so that one more task fits; `enough` is set to whether that suffices.
    std::vector<std::size_t> victimsFor(const ReadyStep &ready, const UpstreamCapacity &capacity, bool &enough);

    void collectVictims();
    std::vector<Victim> &victimsOn(const UpstreamCapacity &capacity);

    const PlanInput &input;
    CapacityTable &capacities;
    bool collected = false;
    std::set<RunKey> stopping; ///< Runs that are being stopped.
    std::map<std::uint64_t, std::vector<Victim>> victims; ///< By upstream number; lowest priority first, then least progress.
    std::vector<RunKey> preemptions;
};

} // namespace cranberryreel::cell::planning
