#pragma once

#include "cell/planning/PlanInput.h"
#include "cell/planning/Preemptor.h"
#include "cell/planning/ReadySteps.h"
#include "cell/planning/UpstreamCapacity.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace cranberryreel::cell::planning
{

/// Forecasts when an upstream will have room for large work if nothing new starts there: as its runs end, or at once where they are being stopped or can be
/// preempted. Tasks that last never end, and a run that takes many times its estimate is not expected to. Not thread-safe; made anew for each plan, and
/// examines the runs only once a step asks.
class DrainForecast
{
public:
    DrainForecast(const PlanInput &planInput, Preemptor &workPreemptor);

    /// The times from now until the upstream has room for the first, second, ... task of the step, up to `most`; fewer when it will not have room for so many.
    std::vector<std::chrono::milliseconds> openings(const ReadyStep &ready, const UpstreamCapacity &capacity, std::uint32_t most);

private:
    struct ExpectedEnd {
        std::chrono::milliseconds in{0};
        RunKey run;
        const wire::StepT *step = nullptr;
    };

    void collect();

    const PlanInput &input;
    Preemptor &preemptor;
    bool collected = false;
    std::map<std::uint64_t, std::vector<ExpectedEnd>> ends; ///< By upstream number, ascending.
};

} // namespace cranberryreel::cell::planning
