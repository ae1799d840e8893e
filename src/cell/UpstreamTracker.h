#pragma once

#include "cell/UpstreamCalls.h"
#include "cell/generated/cell_generated.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace cranberryreel::cell
{

/// The state that the leading scheduler keeps for one upstream during a term: clock, leases, acknowledged ends, silence and exclusion. Does no I/O and reads no
/// clock itself. Used by the scheduler's thread only. Owned by the TermContext.
class UpstreamTracker
{
public:
    /// Grants leases of `maxLease`, the longest that the platform allows, or of 6 s where that is longer. Leases of an earlier leader may cover runs on the
    /// upstream until so long after `now` by the upstream's clock.
    UpstreamTracker(std::chrono::milliseconds maxLease, base::SteadyTime now);

    /// Records a reading of the upstream's steady clock from an answer that arrived at `now`.
    void recordClock(std::chrono::milliseconds clock, base::SteadyTime now);

    /// The lowest value that the upstream's clock can show at `now`; nothing before the first reading.
    std::optional<std::chrono::milliseconds> minimumClock(base::SteadyTime now) const;

    /// Returns the lease deadline for a request sent at `now`, on the upstream's clock, and records the lease as granted, since the request may arrive without
    /// an answer. Nothing before the first clock reading.
    std::optional<std::chrono::milliseconds> grantLease(base::SteadyTime now);

    /// Returns the lease deadline for a start request sent at `now`. A start extends the leases only where little of them is left and the upstream answers its
    /// renewals: they cover all that runs there, and on an upstream that has just died each extension would delay the restart of all of it.
    std::optional<std::chrono::milliseconds> leaseForStart(base::SteadyTime now);

    /// How long the upstream may delay its answer to a renewal while no task ends there: a few times the usual time between ends. Where tasks end often, a lost
    /// answer is so noticed before it delays many jobs; where they end rarely, few renewals are sent.
    std::chrono::milliseconds renewalWait() const;

    /// Records that a renewal answered at `now` reported new ends.
    void recordEnds(base::SteadyTime now);

    /// The number up to which a renewal sent at `now` may acknowledge ends; 0 for none. Until the upstream's next incarnation is called with an epoch of its
    /// own it accepts requests to this one, and it numbers its ends anew. So ends are acknowledged only right after an answer of this incarnation, and not
    /// again once it has confirmed them.
    std::uint64_t endToAcknowledge(base::SteadyTime now) const;

    /// Records that this incarnation answered a renewal that acknowledged ends up to `acknowledged`.
    void recordAnswer(std::uint64_t acknowledged, base::SteadyTime now);

    /// The start time of the known incarnation, where `recorded` is that of the upstream's record.
    std::int64_t bornOr(std::int64_t recorded) const
    {
        return this->bornMs == 0 ? recorded : this->bornMs;
    }

    /// How long leases granted in earlier terms or to earlier incarnations may last from `now` on; 0 when they have expired.
    std::chrono::milliseconds inheritedLeaseTime(base::SteadyTime now) const;

    /// Whether all leases that any request may have granted have certainly expired.
    bool leasesExpired(base::SteadyTime now) const;

    /// Excludes the upstream from new work for `least`, or for twice the last exclusion if that is longer, at most 12 s. No effect during an exclusion. A task
    /// done there ends the doubling.
    void exclude(base::SteadyTime now, std::chrono::milliseconds least);

    /// Resets the state for the incarnation of the upstream that started at `born`, Unix time in milliseconds: earlier runs are gone, its clock and the numbers
    /// of its ends start anew.
    void beginIncarnation(std::int64_t born, base::SteadyTime now);

    // Renewals.
    bool renewalPending = false; ///< A renewal has no answer yet.
    base::SteadyTime renewalSentAt{};
    base::SteadyTime nextRenewal{};
    bool retryingRenewal = false; ///< The last renewal had no answer and is repeated; the upstream does not count as silent yet.
    int silentCalls = 0; ///< Renewals in a row that failed; above 0 the upstream is silent.
    bool readBack = false; ///< The runs and ends of this incarnation were read in this term.
    bool isLost = false; ///< All leases expired while the upstream was silent, and its runs were ended.
    std::uint64_t incarnation = 0; ///< Number of the incarnation; see IncarnationNumbers. Answers to requests for an earlier one do not count.
    std::int64_t bornMs = 0; ///< Start time of the incarnation, Unix time in milliseconds; 0 while it is the recorded one.

    // Ends.
    std::uint64_t lastCommittedEnd = 0; ///< Ends up to this number are committed.
    std::uint64_t lastProposedEnd = 0; ///< Ends up to this number are proposed or committed.
    std::uint64_t lastAcknowledgedEnd = 0; ///< Highest number that an answered renewal has acknowledged.
    base::SteadyTime answeredAt{}; ///< When this incarnation last answered a renewal.
    base::SteadyTime grantedAt{}; ///< When a request last extended the leases.

    // Announcements.
    bool leaving = false; ///< The upstream said that it stops.
    base::SteadyTime announcedAt{}; ///< When the last announcement arrived.
    std::uint64_t announcementSequence = 0;
    std::optional<wire::UpstreamT> earlierBorn; ///< The last announcement of an incarnation that started before the known one, by its own clock.

    // Failures and exclusion.
    int failuresInRow = 0; ///< Failed tasks of different jobs without a task done in between.
    std::uint64_t lastFailedJob = 0;
    base::SteadyTime excludedUntil{}; ///< No new work before this time.
    std::chrono::milliseconds exclusionTime{0}; ///< Length of the last exclusion; the next one doubles it.

private:
    std::chrono::milliseconds platformLeaseMax; ///< Upstreams shorten longer leases to this.
    std::chrono::milliseconds leaseMax; ///< Length of the leases granted.
    std::optional<std::chrono::milliseconds> lastClock;
    base::SteadyTime lastClockAt{};
    base::SteadyTime lastEndsAt{}; ///< When a renewal last reported new ends.
    std::optional<std::chrono::milliseconds> endInterval; ///< Smoothed time between renewals that reported new ends.
    std::chrono::milliseconds latestLeaseEnd{0};
    base::SteadyTime inheritedLeasesUntil{}; ///< Leases granted in earlier terms or to earlier incarnations have expired by then.
    bool hasGrantedLease = false;
    bool restarted = false; ///< Requests meant for an earlier incarnation may have reached this one before its first answer.
};

} // namespace cranberryreel::cell
