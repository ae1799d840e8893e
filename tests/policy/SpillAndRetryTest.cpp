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

LoadView loadWithWait(std::chrono::milliseconds wait, std::uint32_t tasks = 10)
{
    return {1.0, tasks, wait, 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(SpillAndRetryTest)

BOOST_AUTO_TEST_CASE(staysLocalWhileWaitIsShorterThanTransfer)
{
    SpillChooser chooser({50ms, 5s, 5ms, 1});
    chooser.setView("b", loadWithWait(0ms, 0), Now);
    BOOST_TEST(!chooser.choose(loadWithWait(50ms), Now).has_value());
    BOOST_TEST(chooser.choose(loadWithWait(51ms), Now).value_or("") == "b");
}

BOOST_AUTO_TEST_CASE(staysLocalWhenOtherZonesAreNoBetter)
{
    SpillChooser chooser;
    chooser.setView("b", loadWithWait(1000ms), Now);
    chooser.setView("c", loadWithWait(995ms), Now);
    BOOST_TEST(!chooser.choose(loadWithWait(1000ms), Now).has_value());
}

BOOST_AUTO_TEST_CASE(prefersTheBetterZoneAndCountsTasksSent)
{
    SpillChooser chooser({10ms, 5s, 20ms, 1});
    chooser.setView("b", loadWithWait(0ms, 0), Now);
    chooser.setView("c", loadWithWait(300ms), Now);
    std::map<std::string, int> sent;
    for (int i = 0; i < 100; ++i) {
        if (const auto zone = chooser.choose(loadWithWait(500ms), Now)) {
            ++sent[*zone];
        }
    }
    BOOST_TEST(sent["b"] + sent["c"] == 100);
    // The first 15 tasks go to b, which is 300 ms ahead; then 3 in 5, as each task adds 20 ms of wait in b and 30 ms in c.
    BOOST_TEST(sent["b"] >= 64);
    BOOST_TEST(sent["b"] <= 68);
}

BOOST_AUTO_TEST_CASE(tasksSentIntoFreeSlotsAddNoWait)
{
    SpillChooser chooser({10ms, 5s, 20ms, 1});
    chooser.setView("b", {0.5, 0, 0ms, 1000}, Now);
    chooser.setView("c", loadWithWait(300ms), Now);
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(chooser.choose(loadWithWait(500ms), Now).value_or("") == "b");
    }
}

BOOST_AUTO_TEST_CASE(staleViewsAreIgnored)
{
    SpillChooser chooser;
    chooser.setView("b", loadWithWait(0ms, 0), Now);
    BOOST_TEST(!chooser.choose(loadWithWait(10s), Now + 6s).has_value());
}

BOOST_AUTO_TEST_CASE(retriesStopWhenNothingSucceeds)
{
    RetryBudget budget({0.1, 5.0});
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        retries += budget.tryTakeRetry() ? 1 : 0;
    }
    BOOST_TEST(retries == 5);
    for (int i = 0; i < 1000; ++i) {
        budget.recordSuccess();
    }
    BOOST_TEST(budget.remaining() == 5.0);
}

BOOST_AUTO_TEST_SUITE_END()
