#include "cell/UpstreamTracker.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

/// An upstream's steady clock may run slower than this VM's by this share; the platform guarantees at most 2%.
constexpr double ClockDrift = 0.02;
/// Added to the end of leases: for rounding and the time that an upstream needs to end the runs of an expired lease.
constexpr std::chrono::milliseconds LeaseSlack{150};
/// Longest lease that the cell grants where the platform allows longer ones. Tasks of an upstream that vanished start again only when its leases are over, so
/// this bounds their wait.
constexpr std::chrono::milliseconds LongestLease{6000};
constexpr std::chrono::milliseconds MaxExclusion{12000};
/// Bounds of renewalWait(); the longest is well below the shortest lease.
constexpr std::chrono::milliseconds MinRenewalWait{300};
constexpr std::chrono::milliseconds MaxRenewalWait{1500};
constexpr int EndIntervalsPerWait = 3;
/// A start is sent with a lease that has at least this part of the longest lease left; renewals come several times as often.
constexpr int MinStartLeaseDivisor = 2;
/// Ends are acknowledged at most this long after an answer. A commit takes milliseconds; an upstream needs longer to start again and end a task.
constexpr std::chrono::milliseconds AcknowledgementMaxAge{200};
/// Weight of the newest interval between ends in the smoothed one.
constexpr double NewestIntervalWeight = 0.3;

/// How long a lease of this length may last by this VM's clock.
std::chrono::milliseconds longestDuration(std::chrono::milliseconds lease)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(lease / (1.0 - ClockDrift)) + LeaseSlack;
}

} // namespace

UpstreamTracker::UpstreamTracker(std::chrono::milliseconds maxLease, base::SteadyTime now)
    : platformLeaseMax(maxLease)
    , leaseMax(std::min(maxLease, LongestLease))
{
    this->beginIncarnation(0, now);
    this->restarted = false;
    this->inheritedLeasesUntil = now + longestDuration(this->leaseMax);
}

void UpstreamTracker::beginIncarnation(std::int64_t born, base::SteadyTime now)
{
    ++this->incarnation;
    this->bornMs = born;
    this->readBack = false;
    this->isLost = false;
    this->retryingRenewal = false;
    this->silentCalls = 0;
    this->lastEndsAt = now;
    this->endInterval.reset();
    this->nextRenewal = now;
    this->renewalPending = false;
    this->lastCommittedEnd = 0;
    this->lastProposedEnd = 0;
    this->lastAcknowledgedEnd = 0;
    this->answeredAt = {};
    this->grantedAt = {};
    this->leaving = false;
    this->announcedAt = now;
    this->announcementSequence = 0;
    this->earlierBorn.reset();
    this->lastClock.reset();
    this->latestLeaseEnd = {};
    this->hasGrantedLease = false;
    // The clock starts anew, so the deadline of a request meant for the earlier incarnation lies so far ahead that the upstream shortens it to the platform's
    // limit.
    this->restarted = true;
    this->inheritedLeasesUntil = now + longestDuration(this->platformLeaseMax);
}

void UpstreamTracker::recordClock(std::chrono::milliseconds clock, base::SteadyTime now)
{
    // Answers on different connections overtake each other, so only a reading above the known minimum counts.
    if (const auto least = this->minimumClock(now); !least || clock > *least) {
        this->lastClock = clock;
        this->lastClockAt = now;
    }
}

std::optional<std::chrono::milliseconds> UpstreamTracker::minimumClock(base::SteadyTime now) const
{
    if (!this->lastClock) {
        return std::nullopt;
    }
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>((now - this->lastClockAt) * (1.0 - ClockDrift));
    return *this->lastClock + since;
}

void UpstreamTracker::exclude(base::SteadyTime now, std::chrono::milliseconds least)
{
    if (now < this->excludedUntil) {
        return;
    }
    this->exclusionTime = std::clamp(2 * this->exclusionTime, least, MaxExclusion);
    this->excludedUntil = now + this->exclusionTime;
}

std::optional<std::chrono::milliseconds> UpstreamTracker::grantLease(base::SteadyTime now)
{
    const auto clock = this->minimumClock(now);
    if (!clock) {
        return std::nullopt;
    }
    this->latestLeaseEnd = std::max(this->latestLeaseEnd, *clock + this->leaseMax);
    this->hasGrantedLease = true;
    this->grantedAt = now;
    return this->latestLeaseEnd;
}

std::optional<std::chrono::milliseconds> UpstreamTracker::leaseForStart(base::SteadyTime now)
{
    const auto clock = this->minimumClock(now);
    if (!clock || !this->hasGrantedLease) {
        return this->grantLease(now);
    }
    const bool answers = this->silentCalls == 0 && !this->retryingRenewal;
    return answers && this->latestLeaseEnd - *clock < this->leaseMax / MinStartLeaseDivisor ? this->grantLease(now) : this->latestLeaseEnd;
}

std::chrono::milliseconds UpstreamTracker::renewalWait() const
{
    return this->endInterval ? std::clamp(EndIntervalsPerWait * *this->endInterval, MinRenewalWait, MaxRenewalWait) : MaxRenewalWait;
}

void UpstreamTracker::recordEnds(base::SteadyTime now)
{
    const auto interval = now - this->lastEndsAt;
    const auto smoothed = this->endInterval ? NewestIntervalWeight * interval + (1.0 - NewestIntervalWeight) * *this->endInterval : 1.0 * interval;
    this->endInterval = std::chrono::duration_cast<std::chrono::milliseconds>(smoothed);
    this->lastEndsAt = now;
}

std::uint64_t UpstreamTracker::endToAcknowledge(base::SteadyTime now) const
{
    const bool answering = !this->retryingRenewal && this->silentCalls == 0 && now - this->answeredAt <= AcknowledgementMaxAge;
    return answering && this->lastCommittedEnd > this->lastAcknowledgedEnd ? this->lastCommittedEnd : 0;
}

void UpstreamTracker::recordAnswer(std::uint64_t acknowledged, base::SteadyTime now)
{
    this->silentCalls = 0;
    this->retryingRenewal = false;
    this->isLost = false;
    this->lastAcknowledgedEnd = std::max(this->lastAcknowledgedEnd, acknowledged);
    if (this->restarted && this->answeredAt == base::SteadyTime()) {
        // Until this answer, requests meant for the earlier incarnation may have extended the lease.
        this->inheritedLeasesUntil = now + longestDuration(this->platformLeaseMax);
    }
    this->answeredAt = now;
}

std::chrono::milliseconds UpstreamTracker::inheritedLeaseTime(base::SteadyTime now) const
{
    return std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(this->inheritedLeasesUntil - now));
}

bool UpstreamTracker::leasesExpired(base::SteadyTime now) const
{
    if (now < this->inheritedLeasesUntil) {
        return false;
    }
    if (!this->hasGrantedLease) {
        return true;
    }
    const auto clock = this->minimumClock(now);
    return clock && *clock > this->latestLeaseEnd + LeaseSlack;
}

} // namespace cranberryreel::cell
