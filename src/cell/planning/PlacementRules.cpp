#include "cell/planning/PlacementRules.h"

#include <limits>

namespace cranberryreel::cell::planning
{

namespace
{

/// A ticket must be valid for at least this time after the plan: the commit and the start request follow.
constexpr std::chrono::milliseconds MinTicketLifetime{60};
/// Work may start on an upstream that drains when this many times its estimate ends before that.
constexpr int DrainTimeMargin = 2;

} // namespace

const std::string &serviceOf(const ReadyStep &ready)
{
    return ready.queue == nullptr ? ready.job->spec->service : ready.queue->service;
}

bool isInOtherZone(const ReadyStep &ready, const UpstreamCapacity &capacity)
{
    return capacity.upstream->zone != ready.job->spec->zone;
}

PlacementRules::PlacementRules(const PlanInput &planInput)
    : input(planInput)
{
}

bool PlacementRules::mayRunOn(const ReadyStep &ready, const UpstreamCapacity &capacity) const
{
    const wire::StepT &step = *ready.step;
    const bool sharingAllowed = !(step.filler && capacity.servingTasks > 0) && !(servesUsers(step) && capacity.fillerTasks > 0);
    return capacity.usable && sharingAllowed && respectsReservation(ready, ready.waiting.front(), capacity)
        && (step.label.empty() || capacity.hasLabel(step.label));
}

bool PlacementRules::respectsReservation(const ReadyStep &ready, std::uint32_t task, const UpstreamCapacity &capacity)
{
    if (isRestart(ready, task)) {
        return true;
    }
    const wire::StepT &step = *ready.step;
    switch (capacity.reservation) {
    case Reservation::None:
        return true;
    case Reservation::AgainstGangs:
        return !step.gang;
    case Reservation::Draining: {
        const bool preemptible = isPreemptible(step) && ready.queue != nullptr && ready.queue->priority > capacity.drainPriority;
        const bool endsBefore = step.estimate_ms > 0 && DrainTimeMargin * std::chrono::milliseconds(step.estimate_ms) <= capacity.drainTime;
        return preemptible || (endsBefore && !step.lasting && !step.gang);
    }
    case Reservation::Exclusive:
        return false;
    }
    return false;
}

bool PlacementRules::hasRequiredTicket(const ReadyStep &ready, const StepAdvice &advice, const UpstreamCapacity &capacity) const
{
    if (ready.queue == nullptr || !ready.queue->advice) {
        return true;
    }
    const auto ticket = advice.allowed.find(capacity.upstream->number);
    return ticket != advice.allowed.end() && ticket->second.placeUntil > this->input.now + MinTicketLifetime
        && ticket->second.incarnation == capacity.incarnation;
}

std::uint32_t PlacementRules::runsOn(const ReadyStep &ready, std::uint64_t upstream) const
{
    std::uint32_t count = 0;
    for (const auto &task : ready.state->tasks) {
        for (const auto &run : task->runs) {
            count += run->upstream == upstream ? 1 : 0;
        }
    }
    const auto planned = this->plannedRuns.find({ready.key, upstream});
    return count + (planned == this->plannedRuns.end() ? 0 : planned->second);
}

std::uint32_t PlacementRules::remainingTaskLimit(const ReadyStep &ready, const UpstreamCapacity &capacity) const
{
    const std::uint32_t most = ready.step->per_upstream;
    if (most == 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const std::uint32_t runs = this->runsOn(ready, capacity.upstream->number);
    return runs < most ? most - runs : 0;
}

void PlacementRules::recordPlanned(const StepKey &step, std::uint64_t upstream)
{
    ++this->plannedRuns[{step, upstream}];
}

void PlacementRules::undoPlanned(const StepKey &step, std::uint64_t upstream)
{
    --this->plannedRuns[{step, upstream}];
}

} // namespace cranberryreel::cell::planning
