#include "cell/UpstreamTracker.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::UpstreamTracker;
using std::chrono::milliseconds;

namespace
{

const base::SteadyTime Start = base::SteadyTime() + std::chrono::hours(1);
constexpr milliseconds Lease{6000};

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamTrackerTest)

BOOST_AUTO_TEST_CASE(leasesOfAnEarlierLeaderAreWaitedOutWithClockDrift)
{
    const UpstreamTracker tracker(Lease, Start);
    BOOST_TEST(!tracker.leasesExpired(Start + milliseconds(6122)));
    BOOST_TEST(tracker.leasesExpired(Start + milliseconds(6400)));
}

BOOST_AUTO_TEST_CASE(aLeaseExpiresByTheUpstreamsOwnClock)
{
    UpstreamTracker tracker(Lease, Start);
    tracker.recordClock(milliseconds(1000), Start + milliseconds(7000));
    BOOST_TEST((tracker.grantLease(Start + milliseconds(7000)) == milliseconds(7000)));
    // The upstream's clock may run 2% slow: after 6 s it has certainly advanced only by 5.88 s.
    BOOST_TEST(!tracker.leasesExpired(Start + milliseconds(13000)));
    BOOST_TEST(!tracker.leasesExpired(Start + milliseconds(13122)));
    BOOST_TEST(tracker.leasesExpired(Start + milliseconds(13400)));
}

/// Failure: the cell granted leases of 10 s, the longest that the platform allowed, and waited them out before tasks of a vanished upstream ran again.
BOOST_AUTO_TEST_CASE(leasesAreAtMostSixSecondsWhereThePlatformAllowsLongerOnes)
{
    UpstreamTracker tracker(milliseconds(10000), Start);
    BOOST_TEST(tracker.leasesExpired(Start + milliseconds(6400)));
    tracker.recordClock(milliseconds(0), Start);
    BOOST_TEST((tracker.grantLease(Start) == milliseconds(6000)));
    BOOST_TEST(tracker.leasesExpired(Start + milliseconds(6400)));
}

BOOST_AUTO_TEST_CASE(aLeaseNeverBecomesShorter)
{
    UpstreamTracker tracker(Lease, Start);
    tracker.recordClock(milliseconds(1000), Start);
    BOOST_TEST((tracker.grantLease(Start + milliseconds(1000)) == milliseconds(7980)));
    tracker.recordClock(milliseconds(1100), Start + milliseconds(1000)); // A delayed answer with an older reading.
    BOOST_TEST((tracker.grantLease(Start + milliseconds(1000)) == milliseconds(7980)));
}

BOOST_AUTO_TEST_CASE(withoutAClockReadingNoLeaseIsGranted)
{
    UpstreamTracker tracker(Lease, Start);
    BOOST_TEST(!tracker.grantLease(Start).has_value());
}

BOOST_AUTO_TEST_CASE(aNewIncarnationStartsWithFreshState)
{
    UpstreamTracker tracker(Lease, Start);
    tracker.recordClock(milliseconds(500000), Start);
    tracker.lastCommittedEnd = 17;
    tracker.readBack = true;
    const std::uint64_t before = tracker.incarnation;
    tracker.beginIncarnation(1, Start + milliseconds(10000));
    BOOST_TEST(tracker.incarnation > before);
    BOOST_TEST(tracker.lastCommittedEnd == 0U);
    BOOST_TEST(!tracker.readBack);
    BOOST_TEST(!tracker.minimumClock(Start + milliseconds(10000)).has_value());
    BOOST_TEST(!tracker.leasesExpired(Start + milliseconds(16000)));
}

/// Failure: requests of the earlier incarnation extended the lease of the next one until it had been read, and the wait counted from when the restart was seen.
BOOST_AUTO_TEST_CASE(aLeaseAfterARestartCountsFromTheFirstAnswer)
{
    UpstreamTracker tracker(milliseconds(10000), Start);
    tracker.beginIncarnation(1, Start);
    tracker.recordAnswer(0, Start + milliseconds(3000));
    BOOST_TEST(!tracker.leasesExpired(Start + milliseconds(13200)));
    tracker.recordAnswer(0, Start + milliseconds(3100)); // Later answers change nothing.
    BOOST_TEST(tracker.leasesExpired(Start + milliseconds(13400)));
}

/// Load pattern: a share of all renewals gets no answer; where a task ends ten times a second, one and a half seconds without reports delay fifteen tasks.
BOOST_AUTO_TEST_CASE(renewalsWaitShorterWhereTasksEndOften)
{
    UpstreamTracker tracker(Lease, Start);
    const milliseconds longest = tracker.renewalWait();
    for (int i = 1; i <= 20; ++i) {
        tracker.recordEnds(Start + milliseconds(i * 200));
    }
    BOOST_TEST((tracker.renewalWait() == milliseconds(600)));
    for (int i = 1; i <= 20; ++i) {
        tracker.recordEnds(Start + std::chrono::seconds(4 + i));
    }
    BOOST_TEST((tracker.renewalWait() == longest));
    tracker.beginIncarnation(1, Start + std::chrono::seconds(30));
    BOOST_TEST((tracker.renewalWait() == longest));
}

/// Failure: an acknowledgement was repeated without an answer and reached the upstream's next incarnation.
BOOST_AUTO_TEST_CASE(endsAreAcknowledgedOnlyRightAfterAnAnswerAndOnce)
{
    UpstreamTracker tracker(Lease, Start);
    tracker.lastCommittedEnd = 5;
    BOOST_TEST(tracker.endToAcknowledge(Start) == 0U); // This incarnation has not answered yet.
    tracker.recordAnswer(0, Start);
    BOOST_TEST(tracker.endToAcknowledge(Start + milliseconds(50)) == 5U);
    BOOST_TEST(tracker.endToAcknowledge(Start + milliseconds(500)) == 0U);
    tracker.retryingRenewal = true;
    BOOST_TEST(tracker.endToAcknowledge(Start + milliseconds(50)) == 0U);
    tracker.recordAnswer(0, Start + milliseconds(600));
    BOOST_TEST(tracker.endToAcknowledge(Start + milliseconds(650)) == 5U);
    tracker.recordAnswer(5, Start + milliseconds(700));
    BOOST_TEST(tracker.endToAcknowledge(Start + milliseconds(700)) == 0U);
}

/// Failure: starts sent to an upstream that had just died extended its leases, so that lasting tasks there were started again only after 10 s.
BOOST_AUTO_TEST_CASE(aStartExtendsLeasesOnlyWhereLittleIsLeftAndTheUpstreamAnswers)
{
    UpstreamTracker tracker(Lease, Start);
    tracker.recordClock(milliseconds(0), Start);
    BOOST_TEST((tracker.leaseForStart(Start) == milliseconds(6000))); // Nothing was granted yet.
    BOOST_TEST((tracker.leaseForStart(Start + milliseconds(2000)) == milliseconds(6000)));
    BOOST_TEST((tracker.leaseForStart(Start + milliseconds(4000)) == milliseconds(9920)));
    tracker.retryingRenewal = true;
    BOOST_TEST((tracker.leaseForStart(Start + milliseconds(9000)) == milliseconds(9920)));
    tracker.retryingRenewal = false;
    tracker.silentCalls = 1;
    BOOST_TEST((tracker.leaseForStart(Start + milliseconds(9500)) == milliseconds(9920)));
}

BOOST_AUTO_TEST_CASE(repeatedExclusionsDouble)
{
    UpstreamTracker tracker(Lease, Start);
    tracker.exclude(Start, milliseconds(1000));
    BOOST_TEST((tracker.excludedUntil == Start + milliseconds(1000)));
    tracker.exclude(Start + milliseconds(500), milliseconds(1000)); // During an exclusion: no effect.
    BOOST_TEST((tracker.excludedUntil == Start + milliseconds(1000)));
    tracker.exclude(Start + milliseconds(2000), milliseconds(1000));
    BOOST_TEST((tracker.excludedUntil == Start + milliseconds(4000)));
}

BOOST_AUTO_TEST_SUITE_END()
