#pragma once

#include "cell/planning/ReadySteps.h"
#include "cell/planning/SpeedClass.h"
#include "cell/planning/UpstreamCapacity.h"

#include <cstdint>
#include <optional>

namespace cranberryreel::cell::planning
{

/// The capacity of one service's fast upstreams, and how much of it urgent work is expected to need beyond what it has. Other work leaves that much free there:
/// once it fills fast upstreams, a burst of urgent work finds only slow ones and misses its objective. Owned by the ServicePool, for one plan.
class FastCapacity
{
public:
    /// See SpeedClass for the reference speed.
    explicit FastCapacity(double reference);

    double reference() const
    {
        return this->referenceSpeed;
    }

    bool contains(const UpstreamCapacity &capacity) const
    {
        return speedClassOf(capacity.speed, this->referenceSpeed) == SpeedClass::Fast;
    }

    /// Adds an upstream of the service.
    void add(const UpstreamCapacity &capacity);
    /// Counts what urgent work uses now.
    void addUrgentUse(std::int64_t cpuMillis);
    std::int64_t urgentUse() const
    {
        return this->urgentUseCpuMillis;
    }

    /// Sets what urgent work is expected to use at once, in thousandths of a core.
    void expectUrgent(std::int64_t cpuMillis);

    /// Counts a planned start.
    void recordStart(const ReadyStep &ready, const UpstreamCapacity &capacity);
    /// Undoes recordStart().
    void undoStart(const ReadyStep &ready, const UpstreamCapacity &capacity);

    /// How many more tasks of a step that is not urgent, up to `most`, leave enough for urgent work. Until half of the service is in use, any number does: a
    /// step that can run only on fast upstreams must not wait in a service that is mostly free.
    std::uint32_t countFitting(const ReadyStep &ready, std::uint32_t most) const;

    /// What urgent work is expected to need beyond its present use, in thousandths of a core; empty when nothing has observed it.
    std::optional<std::int64_t> urgentNeedCpuMillis() const;

private:
    void change(const ReadyStep &ready, const UpstreamCapacity &capacity, std::int64_t started);

    double referenceSpeed = 1.0;
    std::optional<std::int64_t> expectedUrgentCpuMillis;
    std::int64_t urgentUseCpuMillis = 0;
    std::int64_t freeCpuMillis = 0; ///< On fast upstreams.
    std::int64_t serviceFreeCpuMillis = 0;
    std::int64_t serviceCpuMillis = 0;
};

} // namespace cranberryreel::cell::planning
