#include "cell/planning/Capacity.h"

#include <algorithm>

namespace cranberryreel::cell::planning
{

Capacity Capacity::totalOf(const wire::UpstreamT &upstream)
{
    return {upstream.cpu_millis, upstream.memory_mib, upstream.accelerators};
}

std::uint32_t Capacity::countFitting(const wire::StepT &step, std::uint32_t most) const
{
    std::int64_t count = most;
    const auto limitBy = [&count](std::int64_t free, std::uint32_t each) {
        if (each > 0) {
            count = std::min(count, std::max<std::int64_t>(free, 0) / each);
        }
    };
    limitBy(this->cpuMillis, step.cpu_millis);
    limitBy(this->memoryMib, step.memory_mib);
    limitBy(this->accelerators, step.accelerators);
    return static_cast<std::uint32_t>(count);
}

void Capacity::allocate(const wire::StepT &step, std::uint32_t tasks)
{
    this->cpuMillis -= std::int64_t{step.cpu_millis} * tasks;
    this->memoryMib -= std::int64_t{step.memory_mib} * tasks;
    this->accelerators -= std::int64_t{step.accelerators} * tasks;
}

void Capacity::release(const wire::StepT &step, std::uint32_t tasks)
{
    this->cpuMillis += std::int64_t{step.cpu_millis} * tasks;
    this->memoryMib += std::int64_t{step.memory_mib} * tasks;
    this->accelerators += std::int64_t{step.accelerators} * tasks;
}

void Capacity::addShare(const Capacity &other, double share)
{
    const auto scaled = [share](std::int64_t amount) { return static_cast<std::int64_t>(share * static_cast<double>(amount)); };
    this->cpuMillis += scaled(other.cpuMillis);
    this->memoryMib += scaled(other.memoryMib);
    this->accelerators += scaled(other.accelerators);
}

void Capacity::allocatePart(const wire::StepT &step, std::uint32_t tasks, std::size_t parts)
{
    const auto part = [tasks, parts](std::int64_t each) { return each * tasks / static_cast<std::int64_t>(parts); };
    this->cpuMillis -= part(step.cpu_millis);
    this->memoryMib -= part(step.memory_mib);
    this->accelerators -= part(step.accelerators);
}

} // namespace cranberryreel::cell::planning
