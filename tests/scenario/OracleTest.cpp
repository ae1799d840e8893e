#include "scenario/Oracle.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using namespace cranberryreel::scenario;

namespace
{

RunInterval makeInterval(const std::string &token, const std::string &upstream, std::int64_t startNs, std::int64_t endNs, const std::string &outcome = "done")
{
    return {"task-" + token, 1, upstream, "vm-" + upstream, token, {1000, 1024, 0}, startNs, endNs, outcome};
}

Work makeWork(const std::string &token, const std::string &state, const std::string &answer = "")
{
    Work work;
    work.token = token;
    work.responses = {{state, 0, answer, "", ""}};
    return work;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OracleTest)

BOOST_AUTO_TEST_CASE(runWithoutFaultsHasNoViolation)
{
    const std::vector<RunInterval> intervals{makeInterval("a", "u1", 0, 10), makeInterval("b", "u1", 10, 20)};
    const std::vector<Work> works{makeWork("a", "done", "a"), makeWork("b", "done", "b"), makeWork("c", "not_run"), makeWork("d", "refused")};
    BOOST_TEST(findConcurrentRuns(intervals).empty());
    BOOST_TEST(findRepeatedRuns(intervals, works).empty());
    BOOST_TEST(findFalseResponses(intervals, works).empty());
    BOOST_TEST(findUnanswered(works).empty());
    BOOST_TEST(findOvercommitted(intervals, {{"vm-u1", {{1000, 1024, 0}, 1}}}).empty());
}

BOOST_AUTO_TEST_CASE(everyKindOfViolationIsDetected)
{
    BOOST_TEST(findConcurrentRuns({makeInterval("a", "u1", 0, 10), makeInterval("a", "u2", 9, 20)}).size() == 1U);
    Work once = makeWork("a", "done", "a");
    once.once = true;
    BOOST_TEST(findRepeatedRuns({makeInterval("a", "u1", 0, 10), makeInterval("a", "u2", 10, 20)}, {once}).size() == 1U);
    BOOST_TEST(findFalseResponses({makeInterval("a", "u1", 0, 10)}, {makeWork("a", "not_run")}).size() == 1U);
    BOOST_TEST(findFalseResponses({makeInterval("a", "u1", 0, 10)}, {makeWork("a", "refused")}).size() == 1U);
    BOOST_TEST(findFalseResponses({makeInterval("a", "u1", 0, 10)}, {makeWork("a", "done", "b")}).size() == 1U);
    BOOST_TEST(findFalseResponses({makeInterval("a", "u1", 0, 10, "failed")}, {makeWork("a", "done", "a")}).size() == 1U);
    BOOST_TEST(findFalseResponses({}, {makeWork("a", "done", "a")}).size() == 1U);
    BOOST_TEST(findUnanswered({makeWork("a", "lost"), Work()}).size() == 2U);
    BOOST_TEST(findOvercommitted({makeInterval("a", "u1", 0, 10), makeInterval("b", "u1", 5, 20)}, {{"vm-u1", {{1999, 4096, 0}, 8}}}).size() == 1U);
    BOOST_TEST(findOvercommitted({makeInterval("a", "u1", 0, 10), makeInterval("b", "u1", 5, 20)}, {{"vm-u1", {{9000, 9000, 0}, 1}}}).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
