#include "policy/UpstreamHealth.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::policy
{

namespace
{

constexpr std::uint32_t LimitAfterFailures = 3;
constexpr std::uint32_t ExcludeAfterFailures = 5;
constexpr std::chrono::milliseconds FirstExclusion{5000};
constexpr std::uint32_t MaxExclusionDoublings = 6;
constexpr std::chrono::seconds OpeningStep{30}; ///< Slow start advances after this time even without a success.
constexpr std::chrono::seconds ProbeTimeout{30}; ///< A probe that found no task, or whose task still runs, counts as passed after this time.
constexpr std::chrono::milliseconds FirstCoolDown{100};
constexpr std::uint32_t MaxCoolDownDoublings = 6;
constexpr std::size_t MinUpstreamsPerExcluded = 3; ///< At most one in this many upstreams is excluded at once.
constexpr double ZoneWideFailureRate = 0.5;
constexpr double SmoothingFactor = 0.02;
constexpr std::uint32_t FullyOpenSlots = 64; ///< Slow start ends at this number of slots.

} // namespace

UpstreamHealth::Entry &UpstreamHealth::entry(UpstreamIndex upstream)
{
    if (upstream >= this->entries.size()) {
        this->entries.resize(upstream + 1);
    }
    return this->entries[upstream];
}

void UpstreamHealth::setPresent(UpstreamIndex upstream, bool isPresent)
{
    Entry &state = this->entry(upstream);
    if (state.present != isPresent) {
        this->presentCount += isPresent ? 1 : -1;
        state.present = isPresent;
    }
}

void UpstreamHealth::setLimit(UpstreamIndex upstream, std::uint32_t slots)
{
    this->entry(upstream).openSlots = slots;
    this->changed.push_back({upstream, slots});
}

std::vector<UpstreamHealth::Limit> UpstreamHealth::takeChangedLimits()
{
    return std::exchange(this->changed, {});
}

void UpstreamHealth::leavePhase(UpstreamIndex upstream)
{
    Entry &state = this->entry(upstream);
    if (state.phase == Phase::Excluded || state.phase == Phase::Probing) {
        --this->excluded;
    }
    this->timers.erase({state.until, upstream});
    this->probes.erase(std::remove(this->probes.begin(), this->probes.end(), upstream), this->probes.end());
}

void UpstreamHealth::closeUntil(UpstreamIndex upstream, Phase phase, base::SteadyTime until)
{
    this->leavePhase(upstream);
    Entry &state = this->entry(upstream);
    state.phase = phase;
    state.until = until;
    this->timers.insert({until, upstream});
    this->setLimit(upstream, 0);
}

void UpstreamHealth::open(UpstreamIndex upstream, std::uint32_t slots, base::SteadyTime now)
{
    this->leavePhase(upstream);
    Entry &state = this->entry(upstream);
    if (slots >= FullyOpenSlots) {
        state.phase = Phase::Healthy;
        state.exclusions = 0;
        this->setLimit(upstream, Unlimited);
        return;
    }
    state.phase = Phase::Opening;
    state.until = now + OpeningStep;
    this->timers.insert({state.until, upstream});
    this->setLimit(upstream, slots);
}

void UpstreamHealth::recordSuccess(UpstreamIndex upstream, base::SteadyTime now)
{
    Entry &state = this->entry(upstream);
    state.failuresInRow = 0;
    if (state.phase == Phase::Healthy) {
        this->failureRate -= this->failureRate * SmoothingFactor;
    } else if (state.phase == Phase::Opening) {
        this->open(upstream, state.openSlots * 2, now);
    } else if (state.phase == Phase::Probing || state.phase == Phase::CoolingDown) {
        this->open(upstream, 1, now);
    }
}

bool UpstreamHealth::mayExclude() const
{
    const std::size_t maxExcluded = std::max<std::size_t>(1, this->presentCount / MinUpstreamsPerExcluded);
    return this->presentCount > 1 && this->excluded < maxExcluded && this->failureRate < ZoneWideFailureRate;
}

void UpstreamHealth::exclude(UpstreamIndex upstream, base::SteadyTime now)
{
    const std::uint32_t doublings = std::min(this->entry(upstream).exclusions++, MaxExclusionDoublings);
    this->closeUntil(upstream, Phase::Excluded, now + FirstExclusion * (1U << doublings));
    ++this->excluded;
}

void UpstreamHealth::recordFailure(UpstreamIndex upstream, bool refusedStart, base::SteadyTime now)
{
    Entry &state = this->entry(upstream);
    ++state.failuresInRow;
    if (state.phase == Phase::Excluded) {
        return;
    }
    if (state.phase == Phase::Probing) {
        this->exclude(upstream, now);
        return;
    }
    const bool wasZoneWide = this->failureRate >= ZoneWideFailureRate;
    this->failureRate += (1 - this->failureRate) * SmoothingFactor;
    if (!wasZoneWide && this->failureRate >= ZoneWideFailureRate) {
        this->removeSlowStartLimits();
    }
    if (state.failuresInRow >= ExcludeAfterFailures && this->mayExclude()) {
        this->exclude(upstream, now);
        return;
    }
    if (refusedStart) {
        const std::uint32_t doublings = std::min(state.failuresInRow - 1, MaxCoolDownDoublings);
        this->closeUntil(upstream, Phase::CoolingDown, now + FirstCoolDown * (1U << doublings));
        return;
    }
    if (state.failuresInRow >= LimitAfterFailures && state.openSlots > 1 && this->mayExclude()) {
        this->open(upstream, 1, now);
    }
}

void UpstreamHealth::removeSlowStartLimits()
{
    for (UpstreamIndex upstream = 0; upstream < this->entries.size(); ++upstream) {
        if (this->entries[upstream].phase == Phase::Opening) {
            this->open(upstream, FullyOpenSlots, {});
        }
    }
}

void UpstreamHealth::clearFailures(UpstreamIndex upstream)
{
    this->leavePhase(upstream);
    Entry &state = this->entry(upstream);
    state.phase = Phase::Healthy;
    state.failuresInRow = 0;
    state.exclusions = 0;
    this->setLimit(upstream, Unlimited);
}

void UpstreamHealth::processTimers(base::SteadyTime now)
{
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        const UpstreamIndex upstream = this->timers.begin()->second;
        this->timers.erase(this->timers.begin());
        Entry &state = this->entry(upstream);
        if (state.phase == Phase::Excluded) {
            state.phase = Phase::Probing;
            state.until = now + ProbeTimeout;
            this->timers.insert({state.until, upstream});
            this->probes.push_back(upstream);
        } else {
            this->open(upstream, state.phase == Phase::Opening ? state.openSlots * 2 : 1, now);
        }
    }
}

void UpstreamHealth::probeStarted(UpstreamIndex upstream)
{
    this->probes.erase(std::remove(this->probes.begin(), this->probes.end(), upstream), this->probes.end());
}

void UpstreamHealth::recordInconclusive(UpstreamIndex upstream)
{
    if (this->entry(upstream).phase == Phase::Probing && std::find(this->probes.begin(), this->probes.end(), upstream) == this->probes.end()) {
        this->probes.push_back(upstream);
    }
}

bool UpstreamHealth::isExcluded(UpstreamIndex upstream) const
{
    return upstream < this->entries.size() && (this->entries[upstream].phase == Phase::Excluded || this->entries[upstream].phase == Phase::Probing);
}

} // namespace cranberryreel::policy
