#include "policy/UpstreamHealth.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::policy
{

namespace
{

constexpr std::uint32_t NarrowAfterFailures = 3;
constexpr std::uint32_t EjectAfterFailures = 5;
constexpr std::chrono::milliseconds FirstEjection{5000};
constexpr std::uint32_t MaxEjectionDoublings = 6;
constexpr std::chrono::seconds OpeningStep{30}; ///< Slow start goes on after so long also without a success.
constexpr std::chrono::seconds ProbePatience{30}; ///< A probe that found no task, or whose task runs on, counts as passed after so long.
constexpr std::chrono::milliseconds FirstCoolDown{100};
constexpr std::uint32_t MaxCoolDownDoublings = 6;
constexpr std::size_t EjectedPartMax = 3; ///< At most one in so many upstreams is out at once.
constexpr double CommonFaultRate = 0.5;
constexpr double FadeFactor = 0.02;
constexpr std::uint32_t FullyOpenSlots = 64; ///< Slow start ends here.

} // namespace

UpstreamHealth::Entry &UpstreamHealth::entry(UpstreamIndex upstream)
{
    if (upstream >= this->entries.size()) {
        this->entries.resize(upstream + 1);
    }
    return this->entries[upstream];
}

void UpstreamHealth::present(UpstreamIndex upstream, bool present)
{
    Entry &state = this->entry(upstream);
    if (state.present != present) {
        this->presentCount += present ? 1 : -1;
        state.present = present;
    }
}

void UpstreamHealth::setLimit(UpstreamIndex upstream, std::uint32_t slots)
{
    this->entry(upstream).openSlots = slots;
    this->changed.push_back({upstream, slots});
}

std::vector<UpstreamHealth::Limit> UpstreamHealth::takeLimits()
{
    return std::exchange(this->changed, {});
}

void UpstreamHealth::leave(UpstreamIndex upstream)
{
    Entry &state = this->entry(upstream);
    if (state.phase == Phase::Ejected || state.phase == Phase::Probing) {
        --this->ejected;
    }
    this->timers.erase({state.until, upstream});
    this->probes.erase(std::remove(this->probes.begin(), this->probes.end(), upstream), this->probes.end());
}

void UpstreamHealth::waitUntil(UpstreamIndex upstream, Phase phase, base::SteadyTime until)
{
    this->leave(upstream);
    Entry &state = this->entry(upstream);
    state.phase = phase;
    state.until = until;
    this->timers.insert({until, upstream});
    this->setLimit(upstream, 0);
}

void UpstreamHealth::open(UpstreamIndex upstream, std::uint32_t slots, base::SteadyTime now)
{
    this->leave(upstream);
    Entry &state = this->entry(upstream);
    if (slots >= FullyOpenSlots) {
        state.phase = Phase::Healthy;
        state.ejections = 0;
        this->setLimit(upstream, Unlimited);
        return;
    }
    state.phase = Phase::Opening;
    state.until = now + OpeningStep;
    this->timers.insert({state.until, upstream});
    this->setLimit(upstream, slots);
}

void UpstreamHealth::succeeded(UpstreamIndex upstream, base::SteadyTime now)
{
    Entry &state = this->entry(upstream);
    state.failuresInRow = 0;
    if (state.phase == Phase::Healthy) {
        this->failureRate -= this->failureRate * FadeFactor;
    } else if (state.phase == Phase::Opening) {
        this->open(upstream, state.openSlots * 2, now);
    } else if (state.phase == Phase::Probing || state.phase == Phase::CoolingDown) {
        this->open(upstream, 1, now);
    }
}

bool UpstreamHealth::mayEject() const
{
    const std::size_t most = std::max<std::size_t>(1, this->presentCount / EjectedPartMax);
    return this->presentCount > 1 && this->ejected < most && this->failureRate < CommonFaultRate;
}

void UpstreamHealth::eject(UpstreamIndex upstream, base::SteadyTime now)
{
    const std::uint32_t doublings = std::min(this->entry(upstream).ejections++, MaxEjectionDoublings);
    this->waitUntil(upstream, Phase::Ejected, now + FirstEjection * (1U << doublings));
    ++this->ejected;
}

void UpstreamHealth::failed(UpstreamIndex upstream, bool refusedStart, base::SteadyTime now)
{
    Entry &state = this->entry(upstream);
    ++state.failuresInRow;
    if (state.phase == Phase::Ejected) {
        return;
    }
    if (state.phase == Phase::Probing) {
        this->eject(upstream, now);
        return;
    }
    const bool wasCommon = this->failureRate >= CommonFaultRate;
    this->failureRate += (1 - this->failureRate) * FadeFactor;
    if (!wasCommon && this->failureRate >= CommonFaultRate) {
        this->reopenNarrowed();
    }
    if (state.failuresInRow >= EjectAfterFailures && this->mayEject()) {
        this->eject(upstream, now);
        return;
    }
    if (refusedStart) {
        const std::uint32_t doublings = std::min(state.failuresInRow - 1, MaxCoolDownDoublings);
        this->waitUntil(upstream, Phase::CoolingDown, now + FirstCoolDown * (1U << doublings));
        return;
    }
    if (state.failuresInRow >= NarrowAfterFailures && state.openSlots > 1 && this->mayEject()) {
        this->open(upstream, 1, now);
    }
}

void UpstreamHealth::reopenNarrowed()
{
    for (UpstreamIndex upstream = 0; upstream < this->entries.size(); ++upstream) {
        if (this->entries[upstream].phase == Phase::Opening) {
            this->open(upstream, FullyOpenSlots, {});
        }
    }
}

void UpstreamHealth::forgive(UpstreamIndex upstream)
{
    this->leave(upstream);
    Entry &state = this->entry(upstream);
    state.phase = Phase::Healthy;
    state.failuresInRow = 0;
    state.ejections = 0;
    this->setLimit(upstream, Unlimited);
}

void UpstreamHealth::tick(base::SteadyTime now)
{
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        const UpstreamIndex upstream = this->timers.begin()->second;
        this->timers.erase(this->timers.begin());
        Entry &state = this->entry(upstream);
        if (state.phase == Phase::Ejected) {
            state.phase = Phase::Probing;
            state.until = now + ProbePatience;
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

void UpstreamHealth::inconclusive(UpstreamIndex upstream)
{
    if (this->entry(upstream).phase == Phase::Probing && std::find(this->probes.begin(), this->probes.end(), upstream) == this->probes.end()) {
        this->probes.push_back(upstream);
    }
}

bool UpstreamHealth::isEjected(UpstreamIndex upstream) const
{
    return upstream < this->entries.size() && (this->entries[upstream].phase == Phase::Ejected || this->entries[upstream].phase == Phase::Probing);
}

} // namespace cranberryreel::policy
