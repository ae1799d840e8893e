#include "policy/RetryBudget.h"
#include "policy/SpillChooser.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace cranberryreel;
using namespace cranberryreel::policy;
using namespace std::chrono_literals;

namespace
{

const base::SteadyTime Now{std::chrono::hours(1)};

LoadView waits(std::chrono::milliseconds wait, std::uint32_t tasks = 10)
{
    return {1.0, tasks, wait, 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(SpillAndRetryTest)

BOOST_AUTO_TEST_CASE(staysWhileTheWaitHereIsShorterThanTheTransfer)
{
    SpillChooser chooser({50ms, 5s, 5ms, 1});
    chooser.setView("b", waits(0ms, 0), Now);
    BOOST_TEST(!chooser.choose(waits(50ms), Now).has_value());
    BOOST_TEST(chooser.choose(waits(51ms), Now).value_or("") == "b");
}

BOOST_AUTO_TEST_CASE(staysWhenOtherZonesAreNoBetter)
{
    SpillChooser chooser;
    chooser.setView("b", waits(1000ms), Now);
    chooser.setView("c", waits(995ms), Now);
    BOOST_TEST(!chooser.choose(waits(1000ms), Now).has_value());
}

BOOST_AUTO_TEST_CASE(takesTheBetterOfTwoAndCountsWhatItSent)
{
    SpillChooser chooser({10ms, 5s, 20ms, 1});
    chooser.setView("b", waits(0ms, 0), Now);
    chooser.setView("c", waits(300ms), Now);
    std::map<std::string, int> sent;
    for (int i = 0; i < 100; ++i) {
        if (const auto zone = chooser.choose(waits(500ms), Now)) {
            ++sent[*zone];
        }
    }
    BOOST_TEST(sent["b"] + sent["c"] == 100);
    BOOST_TEST(sent["b"] >= 64); // 15 for its lead of 300 ms, then 3 of 5: a task adds 20 ms there and 30 ms at the other.
    BOOST_TEST(sent["b"] <= 68);
}

BOOST_AUTO_TEST_CASE(whatWasSentIntoFreeRoomDoesNotCount)
{
    SpillChooser chooser({10ms, 5s, 20ms, 1});
    chooser.setView("b", {0.5, 0, 0ms, 1000}, Now);
    chooser.setView("c", waits(300ms), Now);
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(chooser.choose(waits(500ms), Now).value_or("") == "b");
    }
}

BOOST_AUTO_TEST_CASE(oldViewsAreNotTrusted)
{
    SpillChooser chooser;
    chooser.setView("b", waits(0ms, 0), Now);
    BOOST_TEST(!chooser.choose(waits(10s), Now + 6s).has_value());
}

BOOST_AUTO_TEST_CASE(retriesEndWhenNothingSucceeds)
{
    RetryBudget budget({0.1, 5.0});
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        retries += budget.tryRetry() ? 1 : 0;
    }
    BOOST_TEST(retries == 5);
    for (int i = 0; i < 1000; ++i) {
        budget.succeeded();
    }
    BOOST_TEST(budget.left() == 5.0);
}

BOOST_AUTO_TEST_SUITE_END()
