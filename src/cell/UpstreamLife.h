#pragma once

#include "cell/UpstreamCalls.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace cranberryreel::cell
{

/// What the leading scheduler knows of one upstream in this term: its clock, what its leases can cover, whether it has been read back, how it behaves.
/// Pure; the scheduler does the calls. Lives for one term.
class UpstreamLife
{
public:
    /// Until it has been read, an earlier leader's leases may cover work on it up to now plus `leaseMax` of its clock.
    UpstreamLife(std::chrono::milliseconds leaseLimit, base::SteadyTime now);

    /// The upstream said that its clock showed `clock`; the answer came at `now`, so its clock is past it by now.
    void clockRead(std::chrono::milliseconds clock, base::SteadyTime now);

    /// The least that its clock can show now; nothing before the first reading.
    std::optional<std::chrono::milliseconds> clockAtLeast(base::SteadyTime now) const;

    /// The deadline for the next order, remembered as granted: the order may arrive even if no answer does. Nothing before the first reading.
    std::optional<std::chrono::milliseconds> grant(base::SteadyTime now);

    /// Everything that any order may have started there has lost its lease.
    bool leasesOver(base::SteadyTime now) const;

    /// Gives it no work for `least`, or twice the last pause where that is longer; a task done there ends the doubling.
    void shun(base::SteadyTime now, std::chrono::milliseconds least);

    /// Another life answers or announces itself: what ran before is gone, its clock and ends count anew.
    void reborn(base::SteadyTime now);

    // Calls.
    bool renewing = false; ///< A renewal is on its way.
    base::SteadyTime renewSentAt{};
    base::SteadyTime nextRenewal{};
    int silentCalls = 0; ///< Renewals in a row without an answer.
    bool readBack = false; ///< Its runs and ends were read in this term and life.
    bool lostHandled = false; ///< Its leases ran out, and its runs were given up.
    std::uint64_t epoch = 0; ///< Increases with each life, so that answers to calls to an earlier one are told apart.

    // Ends.
    std::uint64_t acknowledged = 0; ///< Ends up to here are kept by the group.
    std::uint64_t proposed = 0; ///< Ends up to here are on their way into the log.
    std::uint64_t acknowledgementSent = 0; ///< The highest that an answered renewal carried.

    // Announcements.
    bool leaving = false; ///< It said that it ends.
    base::SteadyTime announcedAt{};
    std::uint64_t sequence = 0;

    // Behaviour.
    int failuresInRow = 0; ///< Tasks of different jobs that failed there with no success between.
    std::uint64_t lastFailedJob = 0;
    base::SteadyTime shunnedUntil{}; ///< No work goes there before.
    std::chrono::milliseconds shunFor{0}; ///< The last pause, doubled by the next.

private:
    std::chrono::milliseconds leaseMax;
    std::optional<std::chrono::milliseconds> clockSeen;
    base::SteadyTime clockSeenAt{};
    std::chrono::milliseconds granted{0};
    base::SteadyTime inheritedUntil{}; ///< Leases of earlier terms or lives are over then.
    bool grantedAny = false;
};

} // namespace cranberryreel::cell
