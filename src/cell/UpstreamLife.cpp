#include "cell/UpstreamLife.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

/// An upstream's steady clock may run this much slower than ours (the platform states 2%).
constexpr double ClockDrift = 0.02;
/// Added to the end of leases, for rounding and the time that an upstream needs to end what has lapsed.
constexpr std::chrono::milliseconds LeaseSlack{150};
constexpr std::chrono::milliseconds LongestShun{12000};

} // namespace

UpstreamLife::UpstreamLife(std::chrono::milliseconds leaseLimit, base::SteadyTime now)
    : leaseMax(leaseLimit)
{
    this->reborn(now);
}

void UpstreamLife::reborn(base::SteadyTime now)
{
    ++this->epoch;
    this->readBack = false;
    this->lostHandled = false;
    this->silentCalls = 0;
    this->nextRenewal = now;
    this->renewing = false;
    this->acknowledged = 0;
    this->proposed = 0;
    this->acknowledgementSent = 0;
    this->leaving = false;
    this->announcedAt = now;
    this->sequence = 0;
    this->clockSeen.reset();
    this->granted = {};
    this->grantedAny = false;
    const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(this->leaseMax / (1.0 - ClockDrift));
    this->inheritedUntil = now + longest + LeaseSlack;
}

void UpstreamLife::clockRead(std::chrono::milliseconds clock, base::SteadyTime now)
{
    // Answers on different connections overtake each other: the reading that says most counts.
    if (const auto least = this->clockAtLeast(now); !least || clock > *least) {
        this->clockSeen = clock;
        this->clockSeenAt = now;
    }
}

std::optional<std::chrono::milliseconds> UpstreamLife::clockAtLeast(base::SteadyTime now) const
{
    if (!this->clockSeen) {
        return std::nullopt;
    }
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>((now - this->clockSeenAt) * (1.0 - ClockDrift));
    return *this->clockSeen + since;
}

void UpstreamLife::shun(base::SteadyTime now, std::chrono::milliseconds least)
{
    if (now < this->shunnedUntil) {
        return;
    }
    this->shunFor = std::clamp(2 * this->shunFor, least, LongestShun);
    this->shunnedUntil = now + this->shunFor;
}

std::optional<std::chrono::milliseconds> UpstreamLife::grant(base::SteadyTime now)
{
    const auto clock = this->clockAtLeast(now);
    if (!clock) {
        return std::nullopt;
    }
    this->granted = std::max(this->granted, *clock + this->leaseMax);
    this->grantedAny = true;
    return this->granted;
}

bool UpstreamLife::leasesOver(base::SteadyTime now) const
{
    if (now < this->inheritedUntil) {
        return false;
    }
    if (!this->grantedAny) {
        return true;
    }
    const auto clock = this->clockAtLeast(now);
    return clock && *clock > this->granted + LeaseSlack;
}

} // namespace cranberryreel::cell
