#include "LossSchedule.h"
#include "TestSeed.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <ostream>
#include <string>
#include <vector>

using namespace cranberryreel::replication;
using std::chrono::milliseconds;

namespace
{

struct LossCase {
    std::size_t tolerated = 1;
    std::size_t standbys = 1;
};

std::ostream &operator<<(std::ostream &stream, const LossCase &lossCase)
{
    return stream << 2 * lossCase.tolerated + 1 << " voters, " << lossCase.standbys << " standbys";
}

std::vector<LossCase> allCases()
{
    return {{1, 0}, {1, 1}, {1, 2}, {2, 0}, {2, 1}, {2, 2}};
}

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *given = std::getenv(variable);
    return given == nullptr ? otherwise : std::stoull(given);
}

void reportRecoveries(std::vector<milliseconds> recoveries)
{
    std::sort(recoveries.begin(), recoveries.end());
    if (!recoveries.empty()) {
        BOOST_TEST_MESSAGE("power losses: " << recoveries.size() << "; until a leader: median " << recoveries[recoveries.size() / 2].count() << " ms, longest "
                                            << recoveries.back().count() << " ms");
    }
}

} // namespace

/// Groups that keep their membership by standbys, under losses within the terms of a deployment.
BOOST_AUTO_TEST_SUITE(LossFuzzTest)

/// CRANBERRYREEL_LOSS_SEED and CRANBERRYREEL_LOSS_COUNT choose the seeds.
BOOST_DATA_TEST_CASE(theGroupSurvivesToleratedLosses, boost::unit_test::data::make(allCases()), lossCase)
{
    const std::uint64_t first = numberFrom("CRANBERRYREEL_LOSS_SEED", testSeed());
    const std::uint64_t count = numberFrom("CRANBERRYREEL_LOSS_COUNT", 25);
    const CoreSafety safety;
    std::vector<milliseconds> recoveries;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const LossOutcome outcome = playLosses(keptGroup(lossCase.tolerated, lossCase.standbys), seed, safety);
        BOOST_TEST(outcome.violation.empty(), lossCase << ", seed " << seed << ": " << outcome.violation << "\n" << outcome.history);
        recoveries.insert(recoveries.end(), outcome.recoveries.begin(), outcome.recoveries.end());
    }
    reportRecoveries(std::move(recoveries));
}

/// Guards against a new leader that comes too late after a power loss to replace a lost voter while it still counts as lost.
BOOST_AUTO_TEST_CASE(aPowerLossDoesNotDelayAReplacementForLong)
{
    const CoreSafety safety;
    for (const std::uint64_t seed : {37, 38, 61, 74}) {
        const LossOutcome outcome = playLosses(keptGroup(1, 0), seed, safety);
        BOOST_TEST(outcome.violation.empty(), "seed " << seed << ": " << outcome.violation << "\n" << outcome.history);
    }
}

/// Guards against silence that starts anew with each leader: then a lost voter keeps its place for longer than it counts as lost.
BOOST_AUTO_TEST_CASE(silenceUnderEarlierLeadersCounts)
{
    const CoreSafety safety;
    for (const std::uint64_t seed : {301230, 301513, 301733}) {
        const LossOutcome outcome = playLosses(keptGroup(1, 0), seed, safety);
        BOOST_TEST(outcome.violation.empty(), "seed " << seed << ": " << outcome.violation << "\n" << outcome.history);
    }
}

BOOST_AUTO_TEST_SUITE_END()
