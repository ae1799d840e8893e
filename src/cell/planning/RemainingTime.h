#pragma once

#include "cell/CellState.h"
#include "cell/planning/PlanInput.h"

#include <chrono>
#include <optional>

namespace cranberryreel::cell::planning
{

/// How long the run will likely go on, by its progress or else by its estimate on an upstream of this speed. Empty where it takes longer than estimated and
/// reports no progress, since nothing tells when it ends.
std::optional<std::chrono::milliseconds> remainingTime(const RunView &view, const wire::StepT &step, double speed);

} // namespace cranberryreel::cell::planning
