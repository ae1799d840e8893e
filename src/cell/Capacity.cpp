#include "cell/Capacity.h"

#include <algorithm>

namespace cranberryreel::cell
{

Capacity Capacity::of(const wire::UpstreamT &upstream)
{
    return {upstream.cpu_millis, upstream.memory_mib, upstream.accelerators};
}

std::uint32_t Capacity::fits(const wire::StepT &step, std::uint32_t most) const
{
    std::int64_t count = most;
    const auto limit = [&count](std::int64_t free, std::uint32_t each) {
        if (each > 0) {
            count = std::min(count, std::max<std::int64_t>(free, 0) / each);
        }
    };
    limit(this->cpuMillis, step.cpu_millis);
    limit(this->memoryMib, step.memory_mib);
    limit(this->accelerators, step.accelerators);
    return static_cast<std::uint32_t>(count);
}

void Capacity::take(const wire::StepT &step, std::uint32_t tasks)
{
    this->cpuMillis -= std::int64_t{step.cpu_millis} * tasks;
    this->memoryMib -= std::int64_t{step.memory_mib} * tasks;
    this->accelerators -= std::int64_t{step.accelerators} * tasks;
}

void Capacity::giveBack(const wire::StepT &step, std::uint32_t tasks)
{
    this->cpuMillis += std::int64_t{step.cpu_millis} * tasks;
    this->memoryMib += std::int64_t{step.memory_mib} * tasks;
    this->accelerators += std::int64_t{step.accelerators} * tasks;
}

void Capacity::add(const Capacity &other, double share)
{
    const auto part = [share](std::int64_t whole) { return static_cast<std::int64_t>(share * static_cast<double>(whole)); };
    this->cpuMillis += part(other.cpuMillis);
    this->memoryMib += part(other.memoryMib);
    this->accelerators += part(other.accelerators);
}

void Capacity::takePart(const wire::StepT &step, std::uint32_t tasks, std::size_t parts)
{
    const auto part = [tasks, parts](std::int64_t each) { return each * tasks / static_cast<std::int64_t>(parts); };
    this->cpuMillis -= part(step.cpu_millis);
    this->memoryMib -= part(step.memory_mib);
    this->accelerators -= part(step.accelerators);
}

} // namespace cranberryreel::cell
