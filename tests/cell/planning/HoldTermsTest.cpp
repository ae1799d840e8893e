#include "cell/planning/HoldTerms.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::StepKey;
using cell::planning::HoldTerms;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds Interval{20};
const base::SteadyTime Start = base::SteadyTime() + std::chrono::hours(1);

/// How often the step may hold in plans at a fixed interval for this time.
int countHolds(HoldTerms &terms, const StepKey &step, base::SteadyTime from, milliseconds duration, milliseconds limit)
{
    int holds = 0;
    for (milliseconds at{0}; at < duration; at += Interval) {
        holds += terms.mayHold(step, limit, from + at) ? 1 : 0;
    }
    return holds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HoldTermsTest)

/// Both sides: a holder that waits for something that does not come holds for half of the time, and no longer at once than its term.
BOOST_AUTO_TEST_CASE(aHoldEndsAndComesBack)
{
    HoldTerms terms;
    const StepKey step{1, 0, 0};
    BOOST_TEST(countHolds(terms, step, Start, seconds(2), seconds(2)) == 100);
    BOOST_TEST(countHolds(terms, step, Start + seconds(2), seconds(2), seconds(2)) == 0);
    BOOST_TEST(countHolds(terms, step, Start + seconds(4), seconds(2), seconds(2)) == 100);
}

/// The time that a holder expects may grow from plan to plan; its term does not.
BOOST_AUTO_TEST_CASE(laterLimitsDoNotExtendATerm)
{
    HoldTerms terms;
    const StepKey step{1, 0, 0};
    for (milliseconds at{0}; at < seconds(1); at += Interval) {
        BOOST_TEST(terms.mayHold(step, seconds(1) + 2 * at, Start + at));
    }
    BOOST_TEST(!terms.mayHold(step, seconds(10), Start + seconds(1)));
}

BOOST_AUTO_TEST_CASE(aHoldAfterAGapIsANewOne)
{
    HoldTerms terms;
    const StepKey step{1, 0, 0};
    BOOST_TEST(terms.mayHold(step, seconds(2), Start));
    BOOST_TEST(terms.mayHold(step, seconds(2), Start + seconds(20)));
    BOOST_TEST(countHolds(terms, step, Start + seconds(20), seconds(2), seconds(2)) == 100);
}

BOOST_AUTO_TEST_CASE(eachStepHasItsOwnTerm)
{
    HoldTerms terms;
    countHolds(terms, {1, 0, 0}, Start, seconds(3), seconds(2));
    BOOST_TEST(!terms.mayHold(StepKey{1, 0, 0}, seconds(2), Start + seconds(3)));
    BOOST_TEST(terms.mayHold(StepKey{2, 0, 0}, seconds(2), Start + seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()
