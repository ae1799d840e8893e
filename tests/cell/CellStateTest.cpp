#include "cell/CellState.h"

#include "cell/CellSamples.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::CellState;
using cell::wire::EndKind;
using cell::wire::JobState;

namespace
{

CellState withUpstreamAndRules()
{
    CellState state;
    state.apply(support::put(support::rules(1)));
    state.apply(support::announce(support::upstream("u1", 8000)));
    return state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CellStateTest)

BOOST_AUTO_TEST_CASE(aRepeatedSubmissionIsIgnored)
{
    CellState state = withUpstreamAndRules();
    state.apply(support::accept(support::job("j", support::step(2, 1000))));
    state.apply(support::accept(support::job("j", support::step(5, 1000))));
    BOOST_TEST(state.jobs().size() == 1U);
    BOOST_TEST(state.jobNamed("j")->spec->steps.front()->tasks == 2U);
}

BOOST_AUTO_TEST_CASE(aJobIsCompletedWhenItsLastTaskIsDone)
{
    CellState state = withUpstreamAndRules();
    state.apply(support::accept(support::job("j", support::step(2, 1000))));
    for (std::uint32_t task = 0; task < 2; ++task) {
        BOOST_TEST((state.jobNamed("j")->state != JobState::Completed));
        state.apply(support::place(support::key(1, 0, task), 1, 1));
        state.apply(support::end(support::key(1, 0, task), 1, 1, EndKind::Done));
    }
    BOOST_TEST((state.jobNamed("j")->state == JobState::Completed));
    BOOST_TEST(state.openJobs().empty());
}

BOOST_AUTO_TEST_CASE(endsOfUnrecordedRunsAreIgnored)
{
    CellState state = withUpstreamAndRules();
    state.apply(support::accept(support::job("j", support::step(1, 1000))));
    state.apply(support::place(support::key(1, 0, 0), 1, 1));
    state.apply(support::end(support::key(1, 0, 0), 2, 1, EndKind::Done));
    state.apply(support::end(support::key(1, 0, 0), 1, 9, EndKind::Failed));
    BOOST_TEST(state.hasRun(cell::toRef(support::key(1, 0, 0)), 1, 1));
    BOOST_TEST(state.task(cell::toRef(support::key(1, 0, 0)))->failures == 0U);
}

BOOST_AUTO_TEST_CASE(aRepeatedEndCountsOnce)
{
    CellState state = withUpstreamAndRules();
    state.apply(support::accept(support::job("j", support::step(1, 1000))));
    state.apply(support::place(support::key(1, 0, 0), 1, 1));
    state.apply(support::end(support::key(1, 0, 0), 1, 1, EndKind::Failed));
    state.apply(support::end(support::key(1, 0, 0), 1, 1, EndKind::Failed));
    BOOST_TEST(state.task(cell::toRef(support::key(1, 0, 0)))->failures == 1U);
    BOOST_TEST((state.jobNamed("j")->state == JobState::Running));
}

BOOST_AUTO_TEST_CASE(onlyFailedEndsCountTowardsMaxFailures)
{
    CellState state = withUpstreamAndRules();
    state.apply(support::accept(support::job("j", support::step(1, 1000))));
    std::uint32_t attempt = 0;
    for (const EndKind kind : {EndKind::Lapsed, EndKind::Stopped, EndKind::UpstreamGone, EndKind::NeverStarted, EndKind::Broken, EndKind::Failed}) {
        state.apply(support::place(support::key(1, 0, 0), ++attempt, 1));
        state.apply(support::end(support::key(1, 0, 0), attempt, 1, kind));
        BOOST_TEST((state.jobNamed("j")->state == JobState::Running));
    }
    state.apply(support::place(support::key(1, 0, 0), ++attempt, 1));
    state.apply(support::end(support::key(1, 0, 0), attempt, 1, EndKind::Failed));
    BOOST_TEST((state.jobNamed("j")->state == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(placementsOfACancelledJobAreIgnored)
{
    CellState state = withUpstreamAndRules();
    state.apply(support::accept(support::job("j", support::step(1, 1000))));
    cell::wire::CommandT command = support::place(support::key(1, 0, 0), 1, 1);
    command.cancels.push_back("j");
    state.apply(command);
    BOOST_TEST((state.jobNamed("j")->state == JobState::Cancelled));
    BOOST_TEST(!state.hasRun(cell::toRef(support::key(1, 0, 0)), 1, 1));
}

BOOST_AUTO_TEST_CASE(attemptNumbersOnlyIncrease)
{
    CellState state = withUpstreamAndRules();
    state.apply(support::accept(support::job("j", support::step(1, 1000))));
    state.apply(support::place(support::key(1, 0, 0), 3, 1));
    state.apply(support::end(support::key(1, 0, 0), 3, 1, EndKind::Stopped));
    state.apply(support::place(support::key(1, 0, 0), 3, 1));
    BOOST_TEST(!state.hasRun(cell::toRef(support::key(1, 0, 0)), 3, 1));
}

BOOST_AUTO_TEST_CASE(oneDoneTaskCompletesItsGangAndOneCheckpointServesAll)
{
    CellState state = withUpstreamAndRules();
    auto gang = support::step(3, 1000);
    gang->gang = true;
    state.apply(support::accept(support::job("j", std::move(gang))));
    for (std::uint32_t task = 0; task < 3; ++task) {
        state.apply(support::place(support::key(1, 0, task), 1, 1));
    }
    state.apply(support::end(support::key(1, 0, 0), 1, 1, EndKind::Broken, "half"));
    BOOST_TEST(state.task(cell::toRef(support::key(1, 0, 2)))->checkpoint == "half");
    state.apply(support::end(support::key(1, 0, 1), 1, 1, EndKind::Done));
    BOOST_TEST((state.jobNamed("j")->state == JobState::Completed));
    BOOST_TEST(state.openJobs().size() == 1U); // The job stays open until the last task has ended.
    state.apply(support::end(support::key(1, 0, 2), 1, 1, EndKind::Done));
    BOOST_TEST(state.openJobs().empty());
}

BOOST_AUTO_TEST_CASE(aLastingTaskIsNeverDone)
{
    CellState state = withUpstreamAndRules();
    auto lasting = support::step(1, 1000);
    lasting->lasting = true;
    state.apply(support::accept(support::job("j", std::move(lasting))));
    for (std::uint32_t attempt = 1; attempt < 6; ++attempt) {
        state.apply(support::place(support::key(1, 0, 0), attempt, 1));
        state.apply(support::end(support::key(1, 0, 0), attempt, 1, attempt % 2 == 0 ? EndKind::Done : EndKind::Failed));
    }
    BOOST_TEST((state.jobNamed("j")->state == JobState::Running));
    BOOST_TEST(!state.task(cell::toRef(support::key(1, 0, 0)))->done);
}

BOOST_AUTO_TEST_CASE(rulesOfTheSameOrAnOlderVersionAreIgnored)
{
    CellState state = withUpstreamAndRules();
    state.apply(support::put(support::rules(5)));
    state.apply(support::put(support::rules(4)));
    auto same = support::rules(5);
    same->document = "other";
    state.apply(support::put(std::move(same)));
    BOOST_TEST(state.rules()->version == 5U);
    BOOST_TEST(state.rules()->document == "version 5");
}

BOOST_AUTO_TEST_CASE(theLongestPathPrefixSelectsTheQueue)
{
    CellState state;
    auto put = support::rules(1);
    put->queues.push_back(support::queue("deep", 0, 1));
    put->queues.back()->path_prefix = "/quick/deep/";
    state.apply(support::put(std::move(put)));
    BOOST_TEST(state.queueAt("host", "/quick/1")->name == "quick");
    BOOST_TEST(state.queueAt("host", "/quick/deep/1")->name == "deep");
    BOOST_TEST(state.queueAt("host", "/none/1") == nullptr);
    BOOST_TEST(state.queueAt("other", "/quick/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(aRestartedUpstreamKeepsItsNumber)
{
    CellState state = withUpstreamAndRules();
    auto restarted = support::upstream("u1", 4000);
    restarted->born_ms = 2;
    state.apply(support::announce(std::move(restarted)));
    BOOST_TEST(state.upstreams().size() == 1U);
    BOOST_TEST(state.upstreamNamed("u1")->number == 1U);
    BOOST_TEST(state.upstreamNamed("u1")->cpu_millis == 4000U);
}

BOOST_AUTO_TEST_CASE(aSnapshotRestoresTheWholeState)
{
    CellState state = withUpstreamAndRules();
    state.apply(support::accept(support::job("j", support::step(2, 1000))));
    state.apply(support::accept(support::job("k", support::step(1, 1000))));
    state.apply(support::place(support::key(1, 0, 1), 4, 1));
    cell::wire::CommandT cancel;
    cancel.cancels.push_back("k");
    state.apply(cancel);
    CellState read = CellState::decode(state.encode());
    BOOST_TEST(read.encode() == state.encode());
    BOOST_TEST(read.openJobs() == state.openJobs(), boost::test_tools::per_element());
    BOOST_TEST(read.hasRun(cell::toRef(support::key(1, 0, 1)), 4, 1));
    read.apply(support::accept(support::job("l", support::step(1, 1000))));
    BOOST_TEST(read.jobNamed("l")->number == 3U);
}

/// A record without the note, which FlatBuffers does not store, is that of an earlier version too.
BOOST_AUTO_TEST_CASE(aSnapshotKeepsTheNoteOfALongLease)
{
    CellState state = withUpstreamAndRules();
    BOOST_TEST(!CellState::decode(state.encode()).upstreamNamed("u1")->long_lease);
    auto record = support::upstream("u1", 8000);
    record->long_lease = true;
    state.apply(support::announce(std::move(record)));
    BOOST_TEST(CellState::decode(state.encode()).upstreamNamed("u1")->long_lease);
}

/// Failure: a cancel in the same command as its job was applied first and had no effect, so that the cancelled job ran.
BOOST_AUTO_TEST_CASE(aJobIsCancelledByACancelInItsOwnCommand)
{
    CellState state = withUpstreamAndRules();
    cell::wire::CommandT command = support::accept(support::job("j", support::step(1, 1000)));
    command.cancels.push_back("j");
    state.apply(command);
    BOOST_TEST((state.jobNamed("j")->state == JobState::Cancelled));
}

/// Failure: a job that was cancelled before it arrived was accepted later and ran.
BOOST_AUTO_TEST_CASE(aCancelledIdIsNotAcceptedUntilItIsForgotten)
{
    CellState state = withUpstreamAndRules();
    cell::wire::CommandT cancel;
    cancel.cancels.push_back("j");
    state.apply(cancel);
    CellState read = CellState::decode(state.encode());
    read.apply(support::accept(support::job("j", support::step(1, 1000))));
    BOOST_TEST(read.jobNamed("j") == nullptr);
    BOOST_TEST(read.isCancelledId("j"));
    cell::wire::CommandT forget;
    forget.forget_cancelled.push_back("j");
    read.apply(forget);
    read.apply(support::accept(support::job("j", support::step(1, 1000))));
    BOOST_TEST(read.jobNamed("j") != nullptr);
}

BOOST_AUTO_TEST_CASE(onlyEndedJobsAreRemoved)
{
    CellState state = withUpstreamAndRules();
    state.apply(support::accept(support::job("j", support::step(1, 1000))));
    cell::wire::CommandT forget;
    forget.forget.push_back(1);
    state.apply(forget);
    BOOST_TEST(state.jobNamed("j") != nullptr);
    cell::wire::CommandT cancel;
    cancel.cancels.push_back("j");
    state.apply(cancel);
    state.apply(forget);
    BOOST_TEST(state.jobNamed("j") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
