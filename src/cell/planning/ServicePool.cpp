#include "cell/planning/ServicePool.h"

#include <algorithm>

namespace cranberryreel::cell::planning
{

namespace
{

/// The share of a service's usable processor time that is headroom for work of priority 0, whose bursts come on top of a service that is otherwise full.
constexpr double UrgentHeadroomShare = 0.12;
/// Where tasks that last take nearly all of a service, other work gets a part of the rest too.
constexpr std::int64_t MaxHeadroomDivisor = 2;

bool canEverLeaveHeadroom(const ReadyStep &ready, const ServicePool &pool)
{
    const auto together = static_cast<std::int64_t>(ready.step->gang ? ready.waiting.size() : 1);
    return pool.load.drained.cpuMillis - together * std::int64_t{ready.step->cpu_millis} >= pool.headroomCpuMillis();
}

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
    const std::int64_t most = this->load.drained.cpuMillis / MaxHeadroomDivisor;
    if (this->fast && this->fast->urgentNeedCpuMillis()) {
        return std::min(*this->fast->urgentNeedCpuMillis(), most);
    }
    return this->servesUrgent ? std::min(static_cast<std::int64_t>(UrgentHeadroomShare * static_cast<double>(this->load.usable.cpuMillis)), most) : 0;
}

bool mayUseHeadroom(const ReadyStep &ready, std::uint32_t task, const ServicePool &pool)
{
    return countsAsUrgent(ready) || isRestart(ready, task) || !canEverLeaveHeadroom(ready, pool);
}

std::uint32_t countInHeadroom(const ReadyStep &ready, const ServicePool &pool)
{
    const bool all = countsAsUrgent(ready) || !canEverLeaveHeadroom(ready, pool);
    return all ? static_cast<std::uint32_t>(ready.waiting.size()) : countRestarts(ready);
}

bool leavesHeadroom(const ReadyStep &ready, std::uint32_t task, const ServicePool &pool)
{
    return mayUseHeadroom(ready, task, pool) || pool.load.free.cpuMillis - static_cast<std::int64_t>(ready.step->cpu_millis) >= pool.headroomCpuMillis();
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
            addNonNegative(pool.load.drained, capacity.freeWhenDrained);
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
