#include "cell/planning/RemainingTime.h"

#include <algorithm>

namespace cranberryreel::cell::planning
{

namespace
{

constexpr int WholePercent = 100;
/// A run with less reported progress is forecast by its estimate; the first percents are too coarse.
constexpr int MinPercent = 10;

} // namespace

std::optional<std::chrono::milliseconds> remainingTime(const RunView &view, const wire::StepT &step, double speed)
{
    using std::chrono::milliseconds;
    if (view.percent >= MinPercent) {
        return view.elapsed * (WholePercent - std::min(view.percent, WholePercent)) / view.percent;
    }
    const auto runTime = std::chrono::duration_cast<milliseconds>(milliseconds(step.estimate_ms) / speed);
    return view.elapsed < runTime ? std::optional<milliseconds>(runTime - view.elapsed) : std::nullopt;
}

} // namespace cranberryreel::cell::planning
