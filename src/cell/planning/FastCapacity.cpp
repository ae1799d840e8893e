#include "cell/planning/FastCapacity.h"

#include <algorithm>

namespace cranberryreel::cell::planning
{

FastCapacity::FastCapacity(double reference)
    : referenceSpeed(reference)
{
}

void FastCapacity::add(const UpstreamCapacity &capacity)
{
    const std::int64_t free = std::max<std::int64_t>(capacity.free.cpuMillis, 0);
    this->freeCpuMillis += this->contains(capacity) ? free : 0;
    this->serviceFreeCpuMillis += free;
    this->serviceCpuMillis += static_cast<std::int64_t>(capacity.upstream->cpu_millis);
}

void FastCapacity::addUrgentUse(std::int64_t cpuMillis)
{
    this->urgentUseCpuMillis += cpuMillis;
}

void FastCapacity::expectUrgent(std::int64_t cpuMillis)
{
    this->expectedUrgentCpuMillis = cpuMillis;
}

void FastCapacity::recordStart(const ReadyStep &ready, const UpstreamCapacity &capacity)
{
    this->change(ready, capacity, 1);
}

void FastCapacity::undoStart(const ReadyStep &ready, const UpstreamCapacity &capacity)
{
    this->change(ready, capacity, -1);
}

void FastCapacity::change(const ReadyStep &ready, const UpstreamCapacity &capacity, std::int64_t started)
{
    const std::int64_t cpuMillis = started * static_cast<std::int64_t>(ready.step->cpu_millis);
    this->freeCpuMillis -= this->contains(capacity) ? cpuMillis : 0;
    this->serviceFreeCpuMillis -= cpuMillis;
    this->urgentUseCpuMillis += countsAsUrgent(ready) ? cpuMillis : 0;
}

std::uint32_t FastCapacity::countFitting(const ReadyStep &ready, std::uint32_t most) const
{
    const std::int64_t unneeded =
        std::max(this->freeCpuMillis - this->urgentNeedCpuMillis().value_or(0), this->serviceFreeCpuMillis - this->serviceCpuMillis / 2);
    const std::int64_t each = std::max<std::int64_t>(ready.step->cpu_millis, 1);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(unneeded / each, 0, most));
}

std::optional<std::int64_t> FastCapacity::urgentNeedCpuMillis() const
{
    if (!this->expectedUrgentCpuMillis) {
        return std::nullopt;
    }
    return std::max<std::int64_t>(*this->expectedUrgentCpuMillis - this->urgentUseCpuMillis, 0);
}

} // namespace cranberryreel::cell::planning
