#include "cell/teams/SubmissionLimit.h"

#include "cell/CellSamples.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::teams::limitExcess;

namespace
{

cell::wire::TeamT team(std::uint64_t cpuMillis, std::uint64_t memoryMib, std::uint64_t accelerators)
{
    cell::wire::TeamT made;
    made.name = "a";
    made.cpu_millis = cpuMillis;
    made.memory_mib = memoryMib;
    made.accelerators = accelerators;
    return made;
}

bool exceeds(const cell::wire::TeamT &limits, std::uint32_t tasks, std::uint32_t cpuMillis, bool gang)
{
    auto step = support::step(tasks, cpuMillis); // 100 MiB a task.
    step->gang = gang;
    return limitExcess(limits, *support::job("j", std::move(step))).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(SubmissionLimitTest)

BOOST_AUTO_TEST_CASE(aTaskLargerThanTheLimitIsRejected)
{
    BOOST_TEST(exceeds(team(1999, 0, 0), 1, 2000, false));
    BOOST_TEST(!exceeds(team(2000, 0, 0), 1, 2000, false));
    BOOST_TEST(exceeds(team(0, 99, 0), 1, 2000, false));
    BOOST_TEST(!exceeds(team(0, 0, 0), 1, 2000, false));
    auto accelerated = support::step(1, 10);
    accelerated->accelerators = 2;
    BOOST_TEST(limitExcess(team(0, 0, 1), *support::job("j", std::move(accelerated))).has_value());
}

BOOST_AUTO_TEST_CASE(aGangCountsInTotalAndAWideStepByTask)
{
    BOOST_TEST(exceeds(team(5999, 0, 0), 3, 2000, true));
    BOOST_TEST(!exceeds(team(6000, 0, 0), 3, 2000, true));
    BOOST_TEST(!exceeds(team(2000, 0, 0), 3, 2000, false));
}

/// Failure: the total of a gang overflowed 32 bits, so that it seemed to fit.
BOOST_AUTO_TEST_CASE(totalsDoNotOverflow)
{
    BOOST_TEST(exceeds(team(100, 0, 0), 10000, 4000000000U, true));
}

BOOST_AUTO_TEST_CASE(anyStepCountsAndTheReasonNamesIt)
{
    std::vector<std::unique_ptr<cell::wire::StepT>> steps;
    steps.push_back(support::step(1, 100));
    steps.push_back(support::step(1, 3000));
    const auto excess = limitExcess(team(2000, 0, 0), *support::job("j", std::move(steps)));
    BOOST_REQUIRE(excess.has_value());
    BOOST_TEST(*excess == "Step 1 needs 3000 cpu_millis at once; the limit of team 'a' is 2000.");
}

BOOST_AUTO_TEST_SUITE_END()
