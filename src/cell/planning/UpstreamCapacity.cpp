#include "cell/planning/UpstreamCapacity.h"

#include <algorithm>

namespace cranberryreel::cell::planning
{

void UpstreamCapacity::allocate(const wire::StepT &step)
{
    this->free.allocate(step);
    this->unreserved.allocate(step);
    this->freeAfterStops.allocate(step);
    if (step.lasting) {
        this->freeWhenDrained.allocate(step);
    }
    ++this->runs;
    this->fillerTasks += step.filler ? 1 : 0;
    this->servingTasks += servesUsers(step) ? 1 : 0;
}

void UpstreamCapacity::release(const wire::StepT &step)
{
    this->free.release(step);
    this->unreserved.release(step);
    this->freeAfterStops.release(step);
    if (step.lasting) {
        this->freeWhenDrained.release(step);
    }
    --this->runs;
    this->fillerTasks -= step.filler ? 1 : 0;
    this->servingTasks -= servesUsers(step) ? 1 : 0;
}

bool UpstreamCapacity::hasLabel(const std::string &label) const
{
    const auto &labels = this->upstream->labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

CapacityTable::CapacityTable(const CellState &state,
                             const std::map<std::uint64_t, UpstreamTracker> &trackers,
                             base::SteadyTime now,
                             const health::SpeedSource *speeds)
{
    const bool uneven = speeds != nullptr && speeds->isUneven();
    this->capacities.reserve(state.upstreams().size());
    auto tracker = trackers.begin();
    for (const auto &[number, upstream] : state.upstreams()) {
        UpstreamCapacity capacity;
        capacity.upstream = &upstream;
        capacity.free = Capacity::totalOf(upstream);
        capacity.unreserved = capacity.free;
        capacity.freeAfterStops = capacity.free;
        capacity.freeWhenDrained = capacity.free;
        capacity.speed = uneven ? speeds->speedOf(number) : 1.0;
        while (tracker != trackers.end() && tracker->first < number) {
            ++tracker;
        }
        if (tracker != trackers.end() && tracker->first == number) {
            capacity.usable = tracker->second.readBack && !upstream.draining && tracker->second.silentCalls == 0 && now >= tracker->second.excludedUntil;
            capacity.failuresInRow = tracker->second.failuresInRow;
            capacity.incarnation = tracker->second.incarnation;
        }
        this->capacities.push_back(capacity);
    }
    forEachRun(state, [this](const wire::RunT &run, const wire::StepT &step, const wire::JobT &, const TaskKey &) {
        if (UpstreamCapacity *capacity = this->find(run.upstream)) {
            capacity->allocate(step);
        }
    });
}

UpstreamCapacity *CapacityTable::find(std::uint64_t upstream)
{
    const auto at = std::lower_bound(this->capacities.begin(), this->capacities.end(), upstream, [](const UpstreamCapacity &capacity, std::uint64_t number) {
        return capacity.upstream->number < number;
    });
    return at == this->capacities.end() || at->upstream->number != upstream ? nullptr : &*at;
}

bool isPreemptible(const wire::StepT &step)
{
    return step.saves_progress && !step.gang && !step.lasting;
}

bool servesUsers(const wire::StepT &step)
{
    return step.lasting && step.tail_target_ms > 0;
}

} // namespace cranberryreel::cell::planning
