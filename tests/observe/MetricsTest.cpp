#include "observe/Metrics.h"

#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

using namespace cranberryreel;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(MetricsTest)

BOOST_AUTO_TEST_CASE(countersAddUpAcrossThreads)
{
    observe::Counter &events = observe::counter("test_events_total", "Events.", "zone=\"rey\"");
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; thread++) {
        threads.emplace_back([&] {
            for (int event = 0; event < 10000; event++) {
                events.add();
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST(events.value() == 40000U);
    BOOST_TEST(&events == &observe::counter("test_events_total", "Events.", "zone=\"rey\""));
    const std::string text = observe::prometheusText();
    BOOST_TEST(text.find("# TYPE test_events_total counter\ntest_events_total{zone=\"rey\"} 40000\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(quantilesLieWithinOneBin)
{
    observe::DurationHistogram &waits = observe::durations("test_wait_seconds", "Waits.");
    for (int wait = 1; wait <= 1000; wait++) {
        waits.record(std::chrono::microseconds(wait * 100));
    }
    BOOST_TEST((waits.quantile(0.5) >= 50ms && waits.quantile(0.5) <= 64ms));
    BOOST_TEST((waits.quantile(0.99) >= 99ms && waits.quantile(0.99) <= 126ms));
    waits.record(1h);
    BOOST_TEST((waits.quantile(1) == 100s));
    const std::string text = observe::prometheusText();
    BOOST_TEST(text.find("test_wait_seconds_bucket{le=\"+Inf\"} 1001\n") != std::string::npos);
    BOOST_TEST(text.find("test_wait_seconds_count 1001\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(gaugesAreReadOnExport)
{
    double now = 1;
    observe::gauge("test_level", "Level.", "", [&] { return now; });
    now = 2.5;
    BOOST_TEST(observe::prometheusText().find("test_level 2.5\n") != std::string::npos);
    observe::gauge("test_level", "Level.", "", [] { return 0.0; });
}

BOOST_AUTO_TEST_CASE(aNameKeepsItsType)
{
    observe::counter("test_kind", "Kind.");
    BOOST_CHECK_THROW(observe::durations("test_kind", "Kind."), base::Error);
}

BOOST_AUTO_TEST_SUITE_END()
