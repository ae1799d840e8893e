#pragma once

#include "cell/PlanInput.h"
#include "cell/ReadySteps.h"
#include "cell/Room.h"

#include <cstdint>
#include <map>
#include <utility>

namespace cranberryreel::cell
{

/// Which upstreams may run the tasks of a step, apart from their room. Pure; made anew for each plan and told what it starts.
class PlacementRules
{
public:
    explicit PlacementRules(const PlanInput &planInput);

    /// By the upstream's state and labels, and by what runs beside.
    bool mayRunOn(const ReadyStep &ready, const Room &room) const;

    /// No advice is needed, or its ticket for this life of the upstream can still be used.
    bool hasTicket(const ReadyStep &ready, const StepAdvice &advice, const Room &room) const;

    /// Runs of the step there, those of this plan counted.
    std::uint32_t runsOn(const ReadyStep &ready, std::uint64_t upstream) const;

    /// How many more of its tasks may run there beside each other.
    std::uint32_t stillAllowed(const ReadyStep &ready, const Room &room) const;

    void planned(const StepKey &step, std::uint64_t upstream);
    void takenBack(const StepKey &step, std::uint64_t upstream);

private:
    const PlanInput &input;
    std::map<std::pair<StepKey, std::uint64_t>, std::uint32_t> plannedOn;
};

/// The service whose upstreams run the step.
const std::string &serviceOf(const ReadyStep &ready);

/// A job stays in its submitter's zone where it can: a zone that is cut off then holds up its own jobs and hardly any other.
bool isElsewhere(const ReadyStep &ready, const Room &room);

} // namespace cranberryreel::cell
