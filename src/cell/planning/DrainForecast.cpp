#include "cell/planning/DrainForecast.h"

#include "cell/planning/RemainingTime.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cranberryreel::cell::planning
{

namespace
{

using std::chrono::milliseconds;

/// A run that has taken this many times its estimate and reports no progress is not expected to end.
constexpr int OverdueLimit = 4;
/// A run without an estimate is expected to take at least so long.
constexpr milliseconds MinRunTime{1000};

/// Empty when the run is not expected to end.
std::optional<milliseconds> expectedEnd(const RunView &view, const wire::StepT &step, double speed)
{
    if (const auto remaining = remainingTime(view, step, speed)) {
        return remaining;
    }
    const auto runTime = std::max(MinRunTime, std::chrono::duration_cast<milliseconds>(milliseconds(step.estimate_ms) / speed));
    // What has run too long is expected to run for half as long again.
    return view.elapsed < OverdueLimit * runTime ? std::optional<milliseconds>(std::max(view.elapsed / 2, MinRunTime)) : std::nullopt;
}

} // namespace

DrainForecast::DrainForecast(const PlanInput &planInput, Preemptor &workPreemptor)
    : input(planInput)
    , preemptor(workPreemptor)
{
}

void DrainForecast::collect()
{
    if (std::exchange(this->collected, true) || !this->input.viewRun) {
        return;
    }
    forEachRun(this->input.state, [this](const wire::RunT &run, const wire::StepT &step, const wire::JobT &, const TaskKey &task) {
        const double speed = this->input.speeds == nullptr ? 1.0 : this->input.speeds->speedOf(run.upstream);
        if (step.lasting || speed <= 0) {
            return;
        }
        const RunKey key{task, run.attempt};
        if (const auto in = expectedEnd(this->input.viewRun(key), step, speed)) {
            this->ends[run.upstream].push_back({*in, key, &step});
        }
    });
    for (auto &[upstream, here] : this->ends) {
        std::sort(here.begin(), here.end(), [](const ExpectedEnd &left, const ExpectedEnd &right) { return left.in < right.in; });
    }
}

std::vector<milliseconds> DrainForecast::openings(const ReadyStep &ready, const UpstreamCapacity &capacity, std::uint32_t most)
{
    this->collect();
    Capacity room = this->preemptor.reclaimableCapacity(ready, capacity);
    std::vector<milliseconds> times(room.countFitting(*ready.step, most), milliseconds(0));
    const auto here = this->ends.find(capacity.upstream->number);
    if (here == this->ends.end()) {
        return times;
    }
    for (auto end = here->second.begin(); end != here->second.end() && times.size() < most; ++end) {
        if (!this->preemptor.isReclaimable(ready, capacity, end->run)) {
            room.release(*end->step);
            times.resize(std::max<std::size_t>(times.size(), room.countFitting(*ready.step, most)), end->in);
        }
    }
    return times;
}

} // namespace cranberryreel::cell::planning
