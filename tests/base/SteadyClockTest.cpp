#include "SkewedClocks.h"
#include "base/Mailbox.h"

#include "cranberryreel/base/Clock.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <future>

using namespace std::chrono_literals;
using namespace cranberryreel;

namespace
{

struct ClockRestorer {
    ~ClockRestorer()
    {
        testsupport::skewClocks(0s, 0s);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SteadyClockTest, ClockRestorer)

BOOST_AUTO_TEST_CASE(includesSuspendedTime)
{
    const base::SteadyTime before = base::steadyNow();
    testsupport::skewClocks(7s, 0s);
    BOOST_TEST((base::steadyNow() - before >= 7s));
}

BOOST_AUTO_TEST_CASE(timersDoNotDependOnTheTimeOfDay)
{
    base::Mailbox mailbox;
    std::promise<void> ran;
    // A thread that wrongly waited by the time of day would read it 5 s ahead of the kernel's, and its timer would fire late.
    testsupport::skewClocks(0s, 5s);
    mailbox.start();
    mailbox.postAfter(50ms, [&ran] { ran.set_value(); });
    const base::SteadyTime posted = base::steadyNow();
    ran.get_future().wait();
    BOOST_TEST((base::steadyNow() - posted < 2s));
    mailbox.stop();
}

BOOST_AUTO_TEST_SUITE_END()
