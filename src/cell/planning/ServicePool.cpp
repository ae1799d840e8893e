#include "cell/planning/ServicePool.h"

#include <algorithm>

namespace cranberryreel::cell::planning
{

namespace
{

/// The share of a service's usable processor time that is headroom for work of priority 0, whose bursts come on top of a service that is otherwise full.
constexpr double UrgentHeadroomShare = 0.12;

void addNonNegative(Capacity &sum, const Capacity &each)
{
    sum.cpuMillis += std::max<std::int64_t>(each.cpuMillis, 0);
    sum.memoryMib += std::max<std::int64_t>(each.memoryMib, 0);
    sum.accelerators += std::max<std::int64_t>(each.accelerators, 0);
}

} // namespace

bool ServicePool::isLargeTask(const wire::StepT &step) const
{
    const auto pair = static_cast<std::uint32_t>(2 * this->usableUpstreams);
    return this->load.usable.countFitting(step, pair) < pair;
}

bool ServicePool::isMostlyFree() const
{
    const auto mostlyFree = [](std::int64_t free, std::int64_t total) { return total == 0 || 2 * free > total; };
    return mostlyFree(this->load.free.cpuMillis, this->load.usable.cpuMillis) && mostlyFree(this->load.free.memoryMib, this->load.usable.memoryMib)
        && mostlyFree(this->load.free.accelerators, this->load.usable.accelerators);
}

std::int64_t ServicePool::headroomCpuMillis() const
{
    if (this->fast && this->fast->urgentNeedCpuMillis()) {
        return std::min(*this->fast->urgentNeedCpuMillis(), this->load.usable.cpuMillis / 2);
    }
    return this->servesUrgent ? static_cast<std::int64_t>(UrgentHeadroomShare * static_cast<double>(this->load.usable.cpuMillis)) : 0;
}

bool leavesHeadroom(const ReadyStep &ready, const ServicePool &pool)
{
    return mayUseHeadroom(ready) || pool.load.free.cpuMillis - static_cast<std::int64_t>(ready.step->cpu_millis) >= pool.headroomCpuMillis();
}

std::map<std::string, ServicePool> servicePools(const CellState &state, CapacityTable &capacities)
{
    std::map<std::string, ServicePool> pools;
    if (state.rules() != nullptr) {
        for (const auto &queue : state.rules()->queues) {
            pools[queue->service].servesUrgent |= queue->priority == 0;
        }
    }
    for (UpstreamCapacity &capacity : capacities.all()) {
        ServicePool &pool = pools[capacity.upstream->service];
        pool.capacities.push_back(&capacity);
        pool.load.runs += capacity.runs;
        if (capacity.usable) {
            ++pool.usableUpstreams;
            addNonNegative(pool.load.usable, Capacity::totalOf(*capacity.upstream));
            addNonNegative(pool.load.free, capacity.free);
        }
    }
    for (auto &[service, pool] : pools) {
        pool.load.service = service;
        pool.unreserved = pool.load.free;
    }
    return pools;
}

} // namespace cranberryreel::cell::planning
