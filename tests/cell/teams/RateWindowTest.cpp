#include "cell/teams/RateWindow.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::teams::RateWindow;
using std::chrono::milliseconds;

namespace
{

const base::SteadyTime Start = base::SteadyTime() + std::chrono::hours(1);

/// Submits jobs at even intervals for this time; returns how many of them were within the rate.
int withinRate(double weight, milliseconds interval, milliseconds duration)
{
    RateWindow window(std::chrono::seconds(1));
    int within = 0;
    for (milliseconds at{0}; at < duration; at += interval) {
        within += window.isWithinRate("a", weight, std::to_string(at.count()), Start + at) ? 1 : 0;
    }
    return within;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RateWindowTest)

/// Failure: jobs beyond the rate used up the window, so that a team at 7 times its rate had none of its jobs served as usual.
BOOST_AUTO_TEST_CASE(aTeamBeyondItsRateKeepsItsRate)
{
    BOOST_TEST(withinRate(20, milliseconds(50), std::chrono::seconds(6)) == 120);
    BOOST_TEST(withinRate(20, milliseconds(7), std::chrono::seconds(6)) == 120);
}

BOOST_AUTO_TEST_CASE(theWindowSlides)
{
    RateWindow window(std::chrono::seconds(1));
    BOOST_TEST(window.isWithinRate("a", 2, "1", Start));
    BOOST_TEST(window.isWithinRate("a", 2, "2", Start + milliseconds(600)));
    BOOST_TEST(!window.isWithinRate("a", 2, "3", Start + milliseconds(999)));
    BOOST_TEST(window.isWithinRate("a", 2, "4", Start + milliseconds(1000)));
    BOOST_TEST(!window.isWithinRate("a", 2, "5", Start + milliseconds(1599)));
    BOOST_TEST(window.isWithinRate("a", 2, "6", Start + milliseconds(1600)));
}

/// Failure: a submission that was sent again while the first was being committed used up the rate twice.
BOOST_AUTO_TEST_CASE(aRepeatedSubmissionCountsOnce)
{
    RateWindow window(std::chrono::seconds(1));
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(window.isWithinRate("a", 2, "1", Start + milliseconds(i)));
    }
    BOOST_TEST(window.isWithinRate("a", 2, "2", Start + milliseconds(10)));
    BOOST_TEST(!window.isWithinRate("a", 2, "3", Start + milliseconds(10)));
    BOOST_TEST(!window.isWithinRate("a", 2, "3", Start + milliseconds(11)));
}

/// Failure: the count of a team was erased with its last job within the rate, and the leader ended when the team's other jobs left the window.
BOOST_AUTO_TEST_CASE(jobsBeyondTheRateOutliveThoseWithinIt)
{
    RateWindow window(std::chrono::seconds(1));
    BOOST_TEST(window.isWithinRate("a", 1, "1", Start));
    BOOST_TEST(!window.isWithinRate("a", 1, "2", Start + milliseconds(500)));
    BOOST_TEST(window.isWithinRate("b", 1, "3", Start + milliseconds(1200)));
    BOOST_TEST(window.isWithinRate("a", 1, "4", Start + milliseconds(1600)));
}

/// Failure: two jobs of a small team within one second, by chance, were marked although it had sent far less than its rate for seconds.
BOOST_AUTO_TEST_CASE(aLongerWindowAllowsTheSameRateInBursts)
{
    RateWindow window(std::chrono::seconds(5));
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(window.isWithinRate("a", 1, std::to_string(i), Start + milliseconds(i)));
    }
    BOOST_TEST(!window.isWithinRate("a", 1, "5", Start + milliseconds(4999)));
    BOOST_TEST(window.isWithinRate("a", 1, "6", Start + milliseconds(5000)));
}

BOOST_AUTO_TEST_CASE(teamsDoNotShareTheWindow)
{
    RateWindow window(std::chrono::seconds(1));
    BOOST_TEST(window.isWithinRate("a", 1, "1", Start));
    BOOST_TEST(window.isWithinRate("b", 1, "1", Start));
    BOOST_TEST(!window.isWithinRate("a", 1, "2", Start));
}

/// Failure: a team with a weight below one job a second was never within its rate, and a team without a weight neither.
BOOST_AUTO_TEST_CASE(smallAndAbsentWeights)
{
    RateWindow window(std::chrono::seconds(1));
    BOOST_TEST(window.isWithinRate("a", 0.5, "1", Start));
    BOOST_TEST(!window.isWithinRate("a", 0.5, "2", Start));
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(window.isWithinRate("b", 0, std::to_string(i), Start));
    }
}

BOOST_AUTO_TEST_SUITE_END()
