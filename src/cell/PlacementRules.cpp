#include "cell/PlacementRules.h"

#include <limits>

namespace cranberryreel::cell
{

namespace
{

/// A ticket must be good for the commit and the order after the plan.
constexpr std::chrono::milliseconds TicketSpare{60};

} // namespace

const std::string &serviceOf(const ReadyStep &ready)
{
    return ready.queue == nullptr ? ready.job->spec->service : ready.queue->service;
}

bool isElsewhere(const ReadyStep &ready, const Room &room)
{
    return room.upstream->zone != ready.job->spec->zone;
}

PlacementRules::PlacementRules(const PlanInput &planInput)
    : input(planInput)
{
}

bool PlacementRules::mayRunOn(const ReadyStep &ready, const Room &room) const
{
    const wire::StepT &step = *ready.step;
    const bool kept = !(step.filler && room.servers > 0) && !(servesUsers(step) && room.fillers > 0);
    const bool held = room.hold == Hold::ForAll || (room.hold == Hold::ForWhatGivesWay && !givesWay(step));
    return room.usable && !held && kept && (step.label.empty() || room.hasLabel(step.label));
}

bool PlacementRules::hasTicket(const ReadyStep &ready, const StepAdvice &advice, const Room &room) const
{
    if (ready.queue == nullptr || !ready.queue->advice) {
        return true;
    }
    const auto ticket = advice.allowed.find(room.upstream->number);
    return ticket != advice.allowed.end() && ticket->second.usableUntil > this->input.now + TicketSpare && ticket->second.life == room.life;
}

std::uint32_t PlacementRules::runsOn(const ReadyStep &ready, std::uint64_t upstream) const
{
    std::uint32_t count = 0;
    for (const auto &task : ready.state->tasks) {
        for (const auto &run : task->runs) {
            count += run->upstream == upstream ? 1 : 0;
        }
    }
    const auto planned = this->plannedOn.find({ready.key, upstream});
    return count + (planned == this->plannedOn.end() ? 0 : planned->second);
}

std::uint32_t PlacementRules::stillAllowed(const ReadyStep &ready, const Room &room) const
{
    const std::uint32_t most = ready.step->per_upstream;
    if (most == 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const std::uint32_t runs = this->runsOn(ready, room.upstream->number);
    return runs < most ? most - runs : 0;
}

void PlacementRules::planned(const StepKey &step, std::uint64_t upstream)
{
    ++this->plannedOn[{step, upstream}];
}

void PlacementRules::takenBack(const StepKey &step, std::uint64_t upstream)
{
    --this->plannedOn[{step, upstream}];
}

} // namespace cranberryreel::cell
