#include "scenario/Oracle.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using namespace cranberryreel::scenario;

namespace
{

RunInterval ran(const std::string &token, const std::string &upstream, std::int64_t startNs, std::int64_t endNs, const std::string &outcome = "done")
{
    return {"task-" + token, 1, upstream, "vm-" + upstream, token, {1000, 1024, 0}, startNs, endNs, outcome};
}

Work told(const std::string &token, const std::string &state, const std::string &answer = "")
{
    Work work;
    work.token = token;
    work.told = {{state, 0, answer, "", ""}};
    return work;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OracleTest)

BOOST_AUTO_TEST_CASE(aCleanRunHasNoViolation)
{
    const std::vector<RunInterval> intervals{ran("a", "u1", 0, 10), ran("b", "u1", 10, 20)};
    const std::vector<Work> works{told("a", "done", "a"), told("b", "done", "b"), told("c", "not_run"), told("d", "refused")};
    BOOST_TEST(ranInTwoPlaces(intervals).empty());
    BOOST_TEST(ranTwice(intervals, works).empty());
    BOOST_TEST(toldUntruly(intervals, works).empty());
    BOOST_TEST(leftUnanswered(works).empty());
    BOOST_TEST(overfilled(intervals, {{"vm-u1", {{1000, 1024, 0}, 1}}}).empty());
}

BOOST_AUTO_TEST_CASE(everyKindOfViolationIsSeen)
{
    BOOST_TEST(ranInTwoPlaces({ran("a", "u1", 0, 10), ran("a", "u2", 9, 20)}).size() == 1U);
    Work once = told("a", "done", "a");
    once.once = true;
    BOOST_TEST(ranTwice({ran("a", "u1", 0, 10), ran("a", "u2", 10, 20)}, {once}).size() == 1U);
    BOOST_TEST(toldUntruly({ran("a", "u1", 0, 10)}, {told("a", "not_run")}).size() == 1U);
    BOOST_TEST(toldUntruly({ran("a", "u1", 0, 10)}, {told("a", "refused")}).size() == 1U);
    BOOST_TEST(toldUntruly({ran("a", "u1", 0, 10)}, {told("a", "done", "b")}).size() == 1U);
    BOOST_TEST(toldUntruly({ran("a", "u1", 0, 10, "failed")}, {told("a", "done", "a")}).size() == 1U);
    BOOST_TEST(toldUntruly({}, {told("a", "done", "a")}).size() == 1U);
    BOOST_TEST(leftUnanswered({told("a", "lost"), Work()}).size() == 2U);
    BOOST_TEST(overfilled({ran("a", "u1", 0, 10), ran("b", "u1", 5, 20)}, {{"vm-u1", {{1999, 4096, 0}, 8}}}).size() == 1U);
    BOOST_TEST(overfilled({ran("a", "u1", 0, 10), ran("b", "u1", 5, 20)}, {{"vm-u1", {{9000, 9000, 0}, 1}}}).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
