#include "cell/UpstreamLife.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::UpstreamLife;
using std::chrono::milliseconds;

namespace
{

const base::SteadyTime Start = base::SteadyTime() + std::chrono::hours(1);
constexpr milliseconds Lease{6000};

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamLifeTest)

BOOST_AUTO_TEST_CASE(leasesOfAnEarlierLeaderAreWaitedOutWithDrift)
{
    const UpstreamLife life(Lease, Start);
    BOOST_TEST(!life.leasesOver(Start + milliseconds(6122)));
    BOOST_TEST(life.leasesOver(Start + milliseconds(6400)));
}

BOOST_AUTO_TEST_CASE(aGrantIsOverOnlyByTheUpstreamsOwnClock)
{
    UpstreamLife life(Lease, Start);
    life.clockRead(milliseconds(1000), Start + milliseconds(7000));
    BOOST_TEST((life.grant(Start + milliseconds(7000)) == milliseconds(7000)));
    // Its clock may be 2% slow: after 6 s of ours it shows no more than 5.88 s more for certain.
    BOOST_TEST(!life.leasesOver(Start + milliseconds(13000)));
    BOOST_TEST(!life.leasesOver(Start + milliseconds(13122)));
    BOOST_TEST(life.leasesOver(Start + milliseconds(13400)));
}

BOOST_AUTO_TEST_CASE(aGrantNeverShortensAndCountsWithoutAnAnswer)
{
    UpstreamLife life(Lease, Start);
    life.clockRead(milliseconds(1000), Start);
    BOOST_TEST((life.grant(Start + milliseconds(1000)) == milliseconds(7980)));
    life.clockRead(milliseconds(1100), Start + milliseconds(1000)); // An answer that was overtaken.
    BOOST_TEST((life.grant(Start + milliseconds(1000)) == milliseconds(7980)));
}

BOOST_AUTO_TEST_CASE(withoutAClockNothingIsGranted)
{
    UpstreamLife life(Lease, Start);
    BOOST_TEST(!life.grant(Start).has_value());
}

BOOST_AUTO_TEST_CASE(anotherLifeStartsAnew)
{
    UpstreamLife life(Lease, Start);
    life.clockRead(milliseconds(500000), Start);
    life.acknowledged = 17;
    life.readBack = true;
    const std::uint64_t before = life.epoch;
    life.reborn(Start + milliseconds(10000));
    BOOST_TEST(life.epoch > before);
    BOOST_TEST(life.acknowledged == 0U);
    BOOST_TEST(!life.readBack);
    BOOST_TEST(!life.clockAtLeast(Start + milliseconds(10000)).has_value());
    BOOST_TEST(!life.leasesOver(Start + milliseconds(16000)));
}

BOOST_AUTO_TEST_CASE(pausesDoubleUntilATaskIsDone)
{
    UpstreamLife life(Lease, Start);
    life.shun(Start, milliseconds(1000));
    BOOST_TEST((life.shunnedUntil == Start + milliseconds(1000)));
    life.shun(Start + milliseconds(500), milliseconds(1000)); // Within the pause: the same trouble.
    BOOST_TEST((life.shunnedUntil == Start + milliseconds(1000)));
    life.shun(Start + milliseconds(2000), milliseconds(1000));
    BOOST_TEST((life.shunnedUntil == Start + milliseconds(4000)));
}

BOOST_AUTO_TEST_SUITE_END()
