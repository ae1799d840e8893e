#include "cell/planning/ReleaseForecast.h"

#include "cell/planning/RemainingTime.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell::planning
{

using std::chrono::milliseconds;

ReleaseForecast::ReleaseForecast(const PlanInput &planInput)
    : input(planInput)
{
}

void ReleaseForecast::collect()
{
    if (std::exchange(this->collected, true) || !this->input.viewRun || this->input.speeds == nullptr) {
        return;
    }
    forEachRun(this->input.state, [this](const wire::RunT &run, const wire::StepT &step, const wire::JobT &, const TaskKey &task) {
        const double speed = this->input.speeds->speedOf(run.upstream);
        if (step.lasting || speed <= 0) {
            return;
        }
        const RunView view = this->input.viewRun({task, run.attempt});
        if (const auto remaining = view.confirmed ? remainingTime(view, step, speed) : std::nullopt) {
            this->releases[run.upstream].push_back({*remaining, &step});
        }
    });
    for (auto &[upstream, here] : this->releases) {
        std::sort(here.begin(), here.end(), [](const Release &left, const Release &right) { return left.in < right.in; });
    }
}

std::vector<milliseconds> ReleaseForecast::releasesFor(const ReadyStep &ready, const std::vector<UpstreamCapacity *> &capacities)
{
    this->collect();
    const auto tasks = static_cast<std::uint32_t>(ready.waiting.size());
    std::vector<milliseconds> times;
    for (const UpstreamCapacity *capacity : capacities) {
        const auto here = this->releases.find(capacity->upstream->number);
        if (here == this->releases.end()) {
            continue;
        }
        Capacity free = capacity->free;
        std::uint32_t fitting = free.countFitting(*ready.step, tasks);
        for (const Release &release : here->second) {
            free.release(*release.step);
            const std::uint32_t fittingThen = free.countFitting(*ready.step, tasks);
            times.insert(times.end(), fittingThen - std::min(fitting, fittingThen), release.in);
            fitting = std::max(fitting, fittingThen);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

} // namespace cranberryreel::cell::planning
