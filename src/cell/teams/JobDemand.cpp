#include "cell/teams/JobDemand.h"

#include <algorithm>

namespace cranberryreel::cell::teams
{

void JobDemand::addTasks(const wire::StepT &step, std::uint32_t count)
{
    const double time = static_cast<double>(count) * step.estimate_ms;
    this->work.add(Amounts(step), time);
    this->tasks += count;
    this->taskTime += std::chrono::milliseconds(std::int64_t{count} * step.estimate_ms);
    this->size += time * step.cpu_millis;
}

std::optional<Submission> Submission::of(const wire::JobSpecT &spec, const wire::QueueT &queue)
{
    // The estimates of such steps do not say how long they use capacity.
    const auto hasNoDuration = [](const std::unique_ptr<wire::StepT> &step) { return step->lasting || step->filler; };
    if (spec.times > 0 || spec.steps.empty() || std::any_of(spec.steps.begin(), spec.steps.end(), hasNoDuration)) {
        return std::nullopt;
    }
    Submission made;
    made.id = spec.id;
    made.demand.service = spec.service;
    made.demand.team = spec.team;
    made.demand.beyondRate = spec.beyond_rate;
    made.demand.priority = queue.priority;
    for (const auto &step : spec.steps) {
        made.demand.addTasks(*step, step->tasks);
    }
    made.objective = planning::latencyObjective(spec, queue);
    made.chain = planning::unqueuedTime(spec, queue);
    made.firstTask = Amounts(*spec.steps.front());
    made.firstTaskTime = std::chrono::milliseconds(spec.steps.front()->estimate_ms);
    return made;
}

} // namespace cranberryreel::cell::teams
