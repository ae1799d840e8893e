#pragma once

#include "cell/planning/PlanInput.h"
#include "cell/planning/ReadySteps.h"
#include "cell/planning/UpstreamCapacity.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace cranberryreel::cell::planning
{

/// Forecasts when running tasks end, from their progress or else from their estimate and the upstream's speed. Runs that take longer than estimated and report
/// no progress are left out, since nothing tells when they end. Not thread-safe; made anew for each plan, and examines the runs only once a step asks.
class ReleaseForecast
{
public:
    explicit ReleaseForecast(const PlanInput &planInput);

    /// The times from now until these upstreams have capacity for one more task of the step each, ascending, beyond what is free now.
    std::vector<std::chrono::milliseconds> releasesFor(const ReadyStep &ready, const std::vector<UpstreamCapacity *> &capacities);

private:
    struct Release {
        std::chrono::milliseconds in{0};
        const wire::StepT *step = nullptr;
    };

    void collect();

    const PlanInput &input;
    bool collected = false;
    std::map<std::uint64_t, std::vector<Release>> releases; ///< By upstream number, ascending.
};

} // namespace cranberryreel::cell::planning
