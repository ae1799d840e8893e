#pragma once

#include "cell/planning/DrainForecast.h"
#include "cell/planning/PlacementRules.h"
#include "cell/planning/PlanInput.h"
#include "cell/planning/Preemptor.h"
#include "cell/planning/ReadySteps.h"
#include "cell/planning/ServicePool.h"
#include "cell/planning/UpstreamCapacity.h"
#include "cell/planning/WaitReason.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace cranberryreel::cell::planning
{

/// Reserves upstreams for large work that does not fit. Small work that keeps all upstreams partly used would starve it otherwise. What it waits for may never
/// come, so nothing is reserved where it could not run once the upstreams have drained, and each reservation ends after its term (HoldTerms); the work that it
/// kept out goes first for as long. Not thread-safe; owned by the Planner, made anew for each plan.
class LargeWorkReserver
{
public:
    /// What a step that waits has reserved, and what it waits for.
    struct Reserved {
        std::vector<UpstreamCapacity *> upstreams; ///< Where the step will run, if that is decided.
        WaitReason reason = WaitReason::Capacity;
    };

    LargeWorkReserver(const PlanInput &planInput, const PlacementRules &placementRules, Preemptor &workPreemptor);

    /// Waiting large work reserves upstreams and sends advice queries only while the service could hold all of it at once; work later in the order would find
    /// no capacity left.
    bool admit(const ReadyStep &ready, std::uint32_t tasks, ServicePool &pool);

    /// Undoes admit() for a step that reserves nothing and asks for nothing.
    static void giveBack(const ReadyStep &ready, std::uint32_t tasks, ServicePool &pool);

    /// Reserves the upstreams where the fewest runs must be preempted for the tasks. When preemption cannot free enough capacity, those that have room first
    /// are closed to work that would be in the way then.
    Reserved reserve(const ReadyStep &ready, std::size_t tasks, const ServicePool &pool);

private:
    /// An upstream that could be reserved.
    struct Option {
        std::size_t preemptions = 0; ///< Runs to stop before a first task fits.
        /// No new ticket is needed for the upstream, or one is on its way. A gang keeps such an upstream although another one becomes free meanwhile: otherwise
        /// it would ask anew for each, and its first tickets would expire before the last one comes.
        bool hasTicket = false;
        std::uint32_t most = 0; ///< Tasks of the step that its limits allow there.
        std::uint32_t fittingTasks = 0; ///< Tasks of the step that fit into the reclaimable capacity.
        UpstreamCapacity *capacity = nullptr;

        bool operator<(const Option &other) const;
    };

    /// Room for one more task.
    struct Opening {
        std::chrono::milliseconds in{0};
        const Option *option = nullptr;
    };

    std::vector<Option> optionsFor(const ReadyStep &ready, const ServicePool &pool);
    bool isReservable(const ReadyStep &ready, const ServicePool &pool, const UpstreamCapacity &capacity) const;
    Reserved reserveExclusively(const ReadyStep &ready, std::size_t tasks, std::vector<Option> options, std::size_t limit, const ServicePool &pool);
    std::vector<UpstreamCapacity *> reserveOn(const ReadyStep &ready, std::size_t tasks, const std::vector<Option> &options, Reservation reservation);
    Reserved drain(const ReadyStep &ready, std::size_t tasks, const std::vector<Option> &options, std::size_t limit, const ServicePool &pool);
    bool mayHold(const ReadyStep &ready, std::chrono::milliseconds limit) const;
    /// Whether the holders of a service that is mostly free may go on to keep other work out.
    bool mayHoldFree(const ServicePool &pool) const;

    const PlanInput &input;
    const PlacementRules &rules;
    Preemptor &preemptor;
    DrainForecast forecast;
};

} // namespace cranberryreel::cell::planning
