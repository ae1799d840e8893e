#include "cell/RunProgress.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::RunProgress;
using std::chrono::milliseconds;

namespace
{

const base::SteadyTime Start = base::SteadyTime() + std::chrono::hours(1);
constexpr milliseconds Estimate{5000};

} // namespace

BOOST_AUTO_TEST_SUITE(RunProgressTest)

BOOST_AUTO_TEST_CASE(withoutReportsARunTakesItsEstimate)
{
    BOOST_TEST((RunProgress().remainingTime(Estimate, Start) == Estimate));
}

BOOST_AUTO_TEST_CASE(afterOneReportTheRestOfTheEstimateIsLeft)
{
    RunProgress progress;
    progress.record(40, Start);
    BOOST_TEST((progress.remainingTime(Estimate, Start) == milliseconds(3000)));
    BOOST_TEST((progress.remainingTime(Estimate, Start + milliseconds(1000)) == milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(theSpeedSeenGoesBeforeTheEstimate)
{
    RunProgress progress;
    progress.record(40, Start); // Resumed from saved progress.
    progress.record(50, Start + milliseconds(1000));
    progress.record(50, Start + milliseconds(1500)); // No change.
    BOOST_TEST((progress.changedAt() == Start + milliseconds(1000)));
    BOOST_TEST((progress.remainingTime(Estimate, Start + milliseconds(1500)) == milliseconds(4500)));
    BOOST_TEST((progress.remainingTime(Estimate, Start + std::chrono::seconds(60)) == milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()
