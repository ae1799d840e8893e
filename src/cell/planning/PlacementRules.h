#pragma once

#include "cell/planning/PlanInput.h"
#include "cell/planning/ReadySteps.h"
#include "cell/planning/UpstreamCapacity.h"

#include <cstdint>
#include <map>
#include <utility>

namespace cranberryreel::cell::planning
{

/// Decides on which upstreams the tasks of a step may run, free capacity aside. Not thread-safe; made anew for each plan, whose starts are recorded here.
class PlacementRules
{
public:
    explicit PlacementRules(const PlanInput &planInput);

    /// Whether the upstream's state, reservation, labels and other tasks allow the step there, for its first waiting task.
    bool mayRunOn(const ReadyStep &ready, const UpstreamCapacity &capacity) const;

    /// Whether the upstream's reservation for large work lets the waiting task start there.
    static bool respectsReservation(const ReadyStep &ready, std::uint32_t task, const UpstreamCapacity &capacity);

    /// True when the step needs no advice, or has a ticket for this incarnation of the upstream that is valid long enough.
    bool hasRequiredTicket(const ReadyStep &ready, const StepAdvice &advice, const UpstreamCapacity &capacity) const;

    /// The number of runs of the step on the upstream, those planned in this plan included.
    std::uint32_t runsOn(const ReadyStep &ready, std::uint64_t upstream) const;

    /// How many more tasks of the step its limit per upstream allows there.
    std::uint32_t remainingTaskLimit(const ReadyStep &ready, const UpstreamCapacity &capacity) const;

    /// Counts one planned start.
    void recordPlanned(const StepKey &step, std::uint64_t upstream);
    /// Undoes recordPlanned().
    void undoPlanned(const StepKey &step, std::uint64_t upstream);

private:
    const PlanInput &input;
    std::map<std::pair<StepKey, std::uint64_t>, std::uint32_t> plannedRuns;
};

/// The service whose upstreams run the step: that of its queue, or of the job when its queue is unknown.
const std::string &serviceOf(const ReadyStep &ready);

/// Whether the upstream is outside the submitter's zone. Jobs prefer that zone, so that a zone that is cut off delays hardly any jobs but its own.
bool isInOtherZone(const ReadyStep &ready, const UpstreamCapacity &capacity);

} // namespace cranberryreel::cell::planning
