#include "cell/health/StepSamples.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(StepSamplesTest)

/// Load: a step wider than the samples that are kept. Failure: each new run took the place of the one reported before it, so that no pace was ever measured.
BOOST_AUTO_TEST_CASE(runsOfAWideStepKeepTheirSamplesWhileTheyReport)
{
    constexpr std::uint32_t Done = 200;
    const base::SteadyTime start = base::SteadyTime() + std::chrono::hours(1);
    cell::health::StepSamples samples;
    const auto runOf = [](std::uint32_t task) { return cell::RunKey{{{1, 0, 0}, task}, 1}; };
    for (std::uint32_t task = 0; task < Done; ++task) {
        if (cell::health::RunSample *sample = samples.sampleOf(runOf(task), 1, start)) {
            sample->measure(1, start);
            sample->done = true;
        }
    }
    cell::health::RunSample *first = samples.sampleOf(runOf(Done), 2, start + milliseconds(100));
    cell::health::RunSample *second = samples.sampleOf(runOf(Done + 1), 3, start + milliseconds(200));
    BOOST_REQUIRE((first != nullptr && second != nullptr));
    BOOST_TEST((samples.sampleOf(runOf(Done), 2, start + milliseconds(300)) == first));
    BOOST_TEST((samples.sampleOf(runOf(Done + 1), 3, start + milliseconds(400)) == second));
    for (std::uint32_t task = Done + 2; task < 2 * Done; ++task) {
        samples.sampleOf(runOf(task), 4, start + milliseconds(500));
    }
    BOOST_TEST((samples.sampleOf(runOf(Done), 2, start + milliseconds(600)) == first));
    BOOST_TEST((samples.sampleOf(runOf(2 * Done), 5, start + milliseconds(600)) == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
