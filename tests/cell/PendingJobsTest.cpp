#include "cell/CellRig.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::RunEndKind;
using std::chrono::milliseconds;
using support::CellRig;

namespace
{

const std::string First = "j.0.0.0";

/// PROTOCOL.md: the number of pending jobs may be this old.
constexpr milliseconds MaxAge{2000};

/// Whether the number stays the same for this time, over several starts that fail.
bool staysPending(CellRig &rig, std::uint64_t jobs, milliseconds time)
{
    return !rig.runUntil([&] { return rig.pendingJobs("quick") != jobs; }, time);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PendingJobsTest)

/// Failure: a list of jobs named 0 waiting while 5 had waited for 5 s (MIXED); a job counted as started once it was placed, whatever became of the start.
BOOST_AUTO_TEST_CASE(aJobWhoseStartsAreRefusedIsPending)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.upstreams.upstreams["u1"].refusesAsFull = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreams["u1"].startRequests > 0; }));
    BOOST_TEST(staysPending(rig, 1, milliseconds(600)));
    rig.upstreams.upstreams["u1"].refusesAsFull = false;
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.upstreamOf(First).empty(); }));
    BOOST_TEST(rig.runUntil([&] { return rig.pendingJobs("quick") == 0; }, MaxAge));
}

/// Failure: the same where the upstream is cut off and the starts are never carried out.
BOOST_AUTO_TEST_CASE(aJobWhoseStartsAreNotCarriedOutIsPending)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.upstreams.upstreams["u1"].reachable = false;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.upstreams["u1"].delayedStarts.empty(); }));
    BOOST_TEST(staysPending(rig, 1, milliseconds(1500)));
}

/// Failure: the same for a leader that finds the run in the log.
BOOST_AUTO_TEST_CASE(anAdoptedRunThatDidNotBeginLeavesItsJobPending)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.upstreams.upstreams["u1"].reachable = false;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.upstreams["u1"].delayedStarts.empty(); }));
    rig.takeOver();
    BOOST_TEST(staysPending(rig, 1, milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(aJobThatIsKnownToHaveBegunStaysSoOverAChangeOfLeader)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.upstreamOf(First).empty(); }));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.pendingJobs("quick") == 0; }, MaxAge));
    rig.upstreams.upstreams["u1"].reachable = false;
    rig.takeOver();
    BOOST_TEST(staysPending(rig, 0, milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(aRunFoundByANewLeaderCountsAsBegun)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.upstreams.upstreams["u1"].dropsAnswers = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.upstreamOf(First).empty(); }));
    rig.takeOver();
    BOOST_TEST(rig.runUntil([&] { return rig.pendingJobs("quick") == 0; }, MaxAge));
}

BOOST_AUTO_TEST_CASE(aJobWhoseStartWasCarriedOutWithoutAnAnswerIsNotPending)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.upstreams.upstreams["u1"].dropsAnswers = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.upstreamOf(First).empty(); }));
    BOOST_TEST(rig.runUntil([&] { return rig.pendingJobs("quick") == 0; }, MaxAge));
}

BOOST_AUTO_TEST_CASE(aJobWhoseOnlyRunFailedIsNotPending)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.upstreamOf(First).empty(); }));
    rig.upstreams.upstreams["u1"].refusesAsFull = true;
    rig.upstreams.finish("u1", First, RunEndKind::Failed);
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreams["u1"].ended.empty(); }));
    BOOST_TEST(rig.pendingJobs("quick") == 0U);
    BOOST_TEST(staysPending(rig, 0, milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(aRecordThatWasNotCommittedIsProposedAgain)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.upstreamOf(First).empty(); }));
    rig.group.proposalsToRefuse = 1;
    BOOST_TEST(rig.runUntil([&] { return rig.pendingJobs("quick") == 0; }, MaxAge));
    BOOST_TEST(rig.group.proposalsToRefuse == 0);
}

BOOST_AUTO_TEST_SUITE_END()
