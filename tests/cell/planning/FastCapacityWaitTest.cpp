#include "cell/planning/FastCapacityWait.h"

#include <boost/test/unit_test.hpp>

using cranberryreel::cell::planning::FastCapacityOutlook;
using cranberryreel::cell::planning::waitsForFastCapacity;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FastCapacityWaitTest)

/// Load pattern: a burst fills the fast upstreams. Guards against a start on a slow one that misses the objective, and against a wait that gains nothing.
BOOST_AUTO_TEST_CASE(waitsOnlyWhereTheFastRunEndsInTimeAndTheSlowOneDoesNot)
{
    FastCapacityOutlook outlook;
    outlook.slackTime = 300ms; // It must end within 630 ms.
    outlook.expectedRunTime = 330ms;
    outlook.fastRunTime = 330ms;
    outlook.slowRunTime = 800ms;
    outlook.missingTasks = 2;
    outlook.releases = {50ms, 100ms, 500ms};
    BOOST_TEST(waitsForFastCapacity(outlook));
    outlook.missingTasks = 3; // The third comes too late.
    BOOST_TEST(!waitsForFastCapacity(outlook));
    outlook.missingTasks = 4; // Nothing is expected for the fourth.
    BOOST_TEST(!waitsForFastCapacity(outlook));
    outlook.missingTasks = 2;
    outlook.slowRunTime = 600ms; // In time there as well.
    BOOST_TEST(!waitsForFastCapacity(outlook));
}

/// Guards against a step that waits for ever for runs that do not end as forecast: with each plan less slack is left, and then it starts where it can.
BOOST_AUTO_TEST_CASE(theWaitEndsWithTheSlack)
{
    FastCapacityOutlook outlook;
    outlook.expectedRunTime = 330ms;
    outlook.fastRunTime = 330ms;
    outlook.slowRunTime = 800ms;
    outlook.missingTasks = 1;
    outlook.releases = {30ms}; // Always about to end.
    std::chrono::milliseconds waited{0};
    for (outlook.slackTime = 400ms; waitsForFastCapacity(outlook); outlook.slackTime -= 20ms) {
        waited += 20ms;
    }
    BOOST_TEST(waited.count() > 0);
    BOOST_TEST(waited.count() <= 400);
}

BOOST_AUTO_TEST_SUITE_END()
