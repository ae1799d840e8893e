#include "cell/health/UpstreamSpeeds.h"

#include "cell/health/SimulatedUpstreams.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace cranberryreel;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::SimulatedLoad;
using support::SimulatedUpstreams;

namespace
{

constexpr std::size_t Upstreams = 350;
/// Speeds count as uneven from a quotient of 2, which must be well beyond the estimation error: here three standard errors.
const double MaxError = std::log(2.0) / 3;
/// Speeds of 0.7 and 1.7 are 2.7 standard errors of a difference apart at that error.
constexpr double MinRankedPairs = 0.99;

/// Speeds in turn, so that each has a third of the upstreams.
std::vector<double> thirds(double first, double second, double third)
{
    std::vector<double> speeds;
    for (std::size_t i = 0; i < Upstreams; ++i) {
        speeds.push_back(i % 3 == 0 ? first : i % 3 == 1 ? second : third);
    }
    return speeds;
}

/// A sixth of the upstreams, of all speeds alike.
bool isSixth(std::size_t upstream)
{
    return upstream / 3 % 6 == 0;
}

void multiplySixth(SimulatedUpstreams &simulated, double factor)
{
    for (std::size_t i = 0; i < Upstreams; ++i) {
        simulated.trueSpeeds[i] *= isSixth(i) ? factor : 1.0;
    }
}

/// The number of samples of each upstream.
std::vector<double> sampleCounts(const SimulatedUpstreams &simulated)
{
    std::vector<double> counts;
    for (std::size_t i = 0; i < Upstreams; ++i) {
        const cell::health::SpeedEstimate *estimate = simulated.speeds.estimateOf(i);
        counts.push_back(estimate == nullptr ? 0.0 : estimate->sampleCount());
    }
    return counts;
}

/// The share of the sixth whose estimated speed is below the limit, of those with at least two samples beyond the given counts.
double shareOfSixthBelow(double limit, const SimulatedUpstreams &simulated, const std::vector<double> &earlierCounts)
{
    constexpr double MinSamples = 2;
    const std::vector<double> counts = sampleCounts(simulated);
    double below = 0;
    double all = 0;
    for (std::size_t i = 0; i < Upstreams; ++i) {
        if (isSixth(i) && counts[i] >= earlierCounts[i] + MinSamples) {
            below += simulated.speeds.speedOf(i) < limit ? 1 : 0;
            ++all;
        }
    }
    return below / all;
}

} // namespace

/// Load pattern: 600 tasks a second on 350 upstreams, in steps of 10 to 21 tasks whose work differs by 0.3 of its mean; 3% of the tasks take 7 times as long.
BOOST_AUTO_TEST_SUITE(UpstreamSpeedsTest)

BOOST_AUTO_TEST_CASE(speedsOfThirdsAreEstimatedAndUneven)
{
    for (const double spread : {0.15, 0.3}) {
        SimulatedLoad load;
        load.spread = spread;
        SimulatedUpstreams simulated(thirds(0.7, 0.7, 1.7), load);
        // The first tasks take a second, and the estimate 1 to 2 s of work.
        simulated.run(seconds(3));
        BOOST_TEST(simulated.errorAfter(3) < MaxError);
        BOOST_TEST(simulated.rankedPairs() > 0.95);
        BOOST_TEST(simulated.speeds.isUneven());
        simulated.run(seconds(7));
        BOOST_TEST(simulated.errorAfter(3) < MaxError);
        BOOST_TEST(simulated.errorAfter(10) < MaxError);
        BOOST_TEST(simulated.rankedPairs() > MinRankedPairs);
        BOOST_TEST(simulated.speeds.isUneven());
    }
}

/// Guards against placement by speed where speeds differ too little for it, and against switching back and forth.
BOOST_AUTO_TEST_CASE(speedsThatDifferLittleAreNeverUneven)
{
    SimulatedUpstreams simulated(thirds(0.8, 1.0, 1.25), {});
    for (int second = 0; second < 60; ++second) {
        simulated.run(seconds(1));
        BOOST_TEST(!simulated.speeds.isUneven());
    }
}

BOOST_AUTO_TEST_CASE(equalSpeedsStayNearOne)
{
    SimulatedUpstreams simulated(std::vector<double>(Upstreams, 1.0), {});
    simulated.run(seconds(2));
    for (int second = 2; second < 30; ++second) {
        simulated.run(seconds(1));
        BOOST_TEST(simulated.errorAfter(3) < MaxError);
        BOOST_TEST(!simulated.speeds.isUneven());
    }
}

/// Load pattern: a sixth of the upstreams runs five times slower for 6 s. Guards against placing urgent work there, and against avoiding them afterwards.
BOOST_AUTO_TEST_CASE(aSlowdownIsFollowedAndClearedWithinTwoSeconds)
{
    constexpr double Half = 0.5;
    SimulatedUpstreams simulated(std::vector<double>(Upstreams, 1.0), {});
    simulated.run(seconds(10));
    multiplySixth(simulated, 0.2);
    const std::vector<double> atStart = sampleCounts(simulated);
    simulated.run(seconds(2));
    for (int second = 2; second < 6; ++second) {
        BOOST_TEST(shareOfSixthBelow(Half, simulated, atStart) > 0.9);
        BOOST_TEST(!simulated.speeds.isUneven());
        simulated.run(seconds(1));
    }
    multiplySixth(simulated, 5);
    const std::vector<double> atEnd = sampleCounts(simulated);
    simulated.run(seconds(2));
    BOOST_TEST(shareOfSixthBelow(Half, simulated, atEnd) < 0.1);
    BOOST_TEST(!simulated.speeds.isUneven());
}

/// Guards against taking a slowdown for the normal speed, and the other way round.
BOOST_AUTO_TEST_CASE(theUsualSpeedIgnoresASlowdown)
{
    SimulatedUpstreams simulated(thirds(0.7, 0.7, 1.7), {});
    simulated.run(seconds(10));
    multiplySixth(simulated, 0.2);
    simulated.run(seconds(6));
    int far = 0;
    for (std::size_t i = 0; i < Upstreams; ++i) {
        const double usual = simulated.trueSpeeds[i] * (isSixth(i) ? 5.0 : 1.0);
        far += std::abs(std::log(simulated.speeds.usualSpeedOf(i) / usual)) > std::log(2.0) ? 1 : 0;
    }
    BOOST_TEST(far < 0.05 * Upstreams);
    BOOST_TEST(simulated.speeds.isUneven());
}

BOOST_AUTO_TEST_CASE(anUpstreamThatRestartsIsForgotten)
{
    SimulatedUpstreams simulated(thirds(0.7, 0.7, 1.7), {});
    simulated.run(seconds(5));
    BOOST_REQUIRE(simulated.speeds.estimateOf(2) != nullptr);
    BOOST_TEST(simulated.speeds.speedOf(2) != 1.0);
    simulated.speeds.forget(2);
    BOOST_TEST(simulated.speeds.speedOf(2) == 1.0);
    BOOST_TEST(simulated.speeds.estimateOf(2) == nullptr);
}

/// Guards against the start with the mean speed of upstreams whose type is known to be slow, and against types that mean nothing.
BOOST_AUTO_TEST_CASE(anUpstreamWithoutSamplesHasTheSpeedOfItsTypeWhereTypesDiffer)
{
    for (const bool typed : {true, false}) {
        SimulatedUpstreams simulated(thirds(0.7, 0.7, 1.7), {});
        for (std::size_t i = 0; i < Upstreams; ++i) {
            const std::size_t type = typed ? i % 3 : i / 3 % 3;
            simulated.speeds.setType(i, type == 2 ? "b" : "a");
        }
        simulated.speeds.setType(Upstreams, "a");
        simulated.speeds.setType(Upstreams + 1, "b");
        simulated.run(seconds(6));
        BOOST_TEST(simulated.speeds.typesDiffer() == typed);
        BOOST_TEST((simulated.speeds.speedOf(Upstreams) < 0.8) == typed);
        BOOST_TEST((simulated.speeds.speedOf(Upstreams + 1) > 1.25) == typed);
        BOOST_TEST((simulated.speeds.speedOf(Upstreams) == 1.0) == !typed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
