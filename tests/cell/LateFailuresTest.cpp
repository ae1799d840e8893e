#include "cell/CellRig.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::CellState;
using cell::RunEndKind;
using cell::wire::EndKind;
using cell::wire::JobState;
using std::chrono::milliseconds;
using support::CellRig;

namespace
{

const std::string First = "j.0.0.0";

cell::wire::TaskRefT ref(std::uint32_t task)
{
    return cell::toRef(support::key(1, 0, task));
}

std::unique_ptr<cell::wire::StepT> gangStep()
{
    auto gang = support::step(2, 1000);
    gang->gang = true;
    gang->per_upstream = 1;
    return gang;
}

CellState withJob(std::unique_ptr<cell::wire::StepT> step)
{
    CellState state;
    state.apply(support::put(support::rules(1)));
    state.apply(support::announce(support::upstream("u1", 8000)));
    state.apply(support::accept(support::job("j", std::move(step))));
    return state;
}

void placeAll(CellState &state, std::uint32_t tasks, std::uint32_t attempt)
{
    for (std::uint32_t task = 0; task < tasks; ++task) {
        state.apply(support::place(support::key(1, 0, task), attempt, 1));
    }
}

void endTask(CellState &state, std::uint32_t task, std::uint32_t attempt, EndKind kind, const std::string &checkpoint = {})
{
    state.apply(support::end(support::key(1, 0, task), attempt, 1, kind, checkpoint));
    state = CellState::decode(state.encode());
}

std::uint32_t failuresOf(const CellState &state)
{
    return cell::countedFailures(*state.jobNamed("j"), ref(0));
}

std::uint32_t failuresOf(const CellRig &rig)
{
    return rig.store.read([](const CellState &state) { return failuresOf(state); });
}

bool givenUp(const CellRig &rig, std::uint32_t task)
{
    return rig.store.read([task](const CellState &state) { return state.task(ref(task))->runs.empty(); });
}

/// The first run of the job's task on "u1" fails behind a cut and is given up; the cut is still there.
void failBehindACut(CellRig &rig)
{
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf(First) == "u1"; }));
    rig.upstreams.upstreams["u1"].reachable = false;
    rig.upstreams.finish("u1", First, RunEndKind::Failed);
    BOOST_REQUIRE(rig.runUntil([&] { return givenUp(rig, 0); }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(LateFailuresTest)

/// Failure: a run failed behind a cut and was given up; its end was acknowledged and counted nowhere, and the task started once more than its budget allows.
BOOST_AUTO_TEST_CASE(aRunThatFailedBehindACutCounts)
{
    CellRig rig;
    failBehindACut(rig);
    rig.upstreams.upstreams["u1"].reachable = true;
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.startCounts[First] == 2; }));
    rig.upstreams.finish("u1", First, RunEndKind::Failed);
    BOOST_TEST(rig.runUntil([&] { return rig.jobState("j") == JobState::Failed; }, milliseconds(2000)));
    BOOST_TEST(rig.upstreams.startCounts[First] == 2);
}

/// Failure: as above, with the end listed while the task runs again elsewhere and a budget of one: the second run went on.
BOOST_AUTO_TEST_CASE(aLateFailureThatUsesUpTheBudgetStopsTheRunThatFollowedIt)
{
    CellRig rig;
    auto changed = support::rules(2);
    changed->queues.front()->max_failures = 1;
    rig.putRules(std::move(changed));
    failBehindACut(rig);
    rig.addUpstream("u2", 8000);
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf(First) == "u2"; }));
    rig.upstreams.upstreams["u1"].reachable = true;
    BOOST_TEST(rig.runUntil([&] { return rig.jobState("j") == JobState::Failed; }, milliseconds(2000)));
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.runningTasks().empty(); }, milliseconds(2000)));
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.upstreams["u1"].ended.empty(); }, milliseconds(2000)));
}

/// Failure: as above, with the end listed while the loss of the run waits for its commit.
BOOST_AUTO_TEST_CASE(aFailureThatIsListedWhileTheLossOfItsRunIsCommittedCounts)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf(First) == "u1"; }));
    // The loss of the run is then the next proposal.
    BOOST_REQUIRE(rig.runUntil([&] { return rig.store.read([](const CellState &state) { return state.jobNamed("j")->started; }); }));
    rig.upstreams.upstreams["u1"].reachable = false;
    rig.upstreams.finish("u1", First, RunEndKind::Failed);
    rig.group.stalls = true;
    const std::uint64_t before = rig.group.proposals;
    BOOST_REQUIRE(rig.runUntil([&] { return rig.group.proposals > before; }));
    rig.upstreams.upstreams["u1"].reachable = true;
    rig.run(milliseconds(600));
    rig.group.resume();
    BOOST_TEST(rig.runUntil([&] { return failuresOf(rig) == 1; }, milliseconds(2000)));
    rig.run(milliseconds(200));
    BOOST_TEST(failuresOf(rig) == 1U);
}

/// An end that is listed to the next leader as well, since its acknowledgement had not been sent yet, counts once.
BOOST_AUTO_TEST_CASE(aLateFailureThatTheNextLeaderIsListedCountsOnce)
{
    CellRig rig;
    failBehindACut(rig);
    rig.upstreams.upstreams["u1"].reachable = true;
    BOOST_REQUIRE(rig.runUntil([&] { return failuresOf(rig) == 1; }, milliseconds(2000)));
    BOOST_REQUIRE(!rig.upstreams.upstreams["u1"].ended.empty());
    rig.store.restore(rig.store.snapshot());
    rig.takeOver();
    rig.run(milliseconds(200));
    rig.submit(support::job("k", support::step(1, 1000))); // An acknowledgement follows the next commit.
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.upstreams["u1"].ended.empty(); }));
    BOOST_TEST(failuresOf(rig) == 1U);
    BOOST_TEST((rig.jobState("j") == JobState::Running));
}

/// Failure: the members of a gang that failed behind a cut counted nowhere. One run counts once, whichever of its ends come late.
BOOST_AUTO_TEST_CASE(lateFailuresOfAGangsMembersCountOncePerRun)
{
    CellState state = withJob(gangStep());
    placeAll(state, 2, 1);
    endTask(state, 0, 1, EndKind::Failed);
    endTask(state, 1, 1, EndKind::UpstreamGone);
    placeAll(state, 2, 2);
    endTask(state, 1, 1, EndKind::Failed);
    BOOST_TEST(failuresOf(state) == 1U);
    endTask(state, 0, 2, EndKind::UpstreamGone);
    endTask(state, 1, 2, EndKind::Lapsed);
    placeAll(state, 2, 3);
    BOOST_TEST((state.jobNamed("j")->state == JobState::Running));
    endTask(state, 0, 2, EndKind::Failed);
    BOOST_TEST(failuresOf(state) == 2U);
    BOOST_TEST((state.jobNamed("j")->state == JobState::Failed));
}

/// Ends of two attempts can come in any order: each counts once, however often it is listed.
BOOST_AUTO_TEST_CASE(aLateFailureAfterTheFailureOfALaterAttemptCountsOnce)
{
    CellState state = withJob(support::step(1, 1000));
    auto changed = support::rules(2);
    changed->queues.front()->max_failures = 9;
    state.apply(support::put(std::move(changed)));
    placeAll(state, 1, 1);
    endTask(state, 0, 1, EndKind::UpstreamGone);
    placeAll(state, 1, 2);
    endTask(state, 0, 2, EndKind::Failed);
    for (int listed = 0; listed < 3; ++listed) {
        endTask(state, 0, 1, EndKind::Failed);
        endTask(state, 0, 2, EndKind::Failed);
        state.apply(support::end(support::key(1, 0, 0), 1, 7, EndKind::Failed)); // The same upstream under its next number.
        BOOST_TEST(failuresOf(state) == 2U);
    }
}

BOOST_AUTO_TEST_CASE(aLateFailureOfATaskThatIsDoneOrWhoseJobHasEndedDoesNotCount)
{
    CellState done = withJob(support::step(1, 1000));
    placeAll(done, 1, 1);
    endTask(done, 0, 1, EndKind::UpstreamGone);
    placeAll(done, 1, 2);
    endTask(done, 0, 2, EndKind::Done);
    endTask(done, 0, 1, EndKind::Failed);
    BOOST_TEST(failuresOf(done) == 0U);
    BOOST_TEST((done.jobNamed("j")->state == JobState::Completed));
    CellState cancelled = withJob(support::step(1, 1000));
    placeAll(cancelled, 1, 1);
    endTask(cancelled, 0, 1, EndKind::UpstreamGone);
    cell::wire::CommandT cancel;
    cancel.cancels.push_back("j");
    cancelled.apply(cancel);
    endTask(cancelled, 0, 1, EndKind::Failed);
    BOOST_TEST(failuresOf(cancelled) == 0U);
    BOOST_TEST((cancelled.jobNamed("j")->state == JobState::Cancelled));
}

/// Attempts that were never placed, or that run elsewhere by the records, have no late ends.
BOOST_AUTO_TEST_CASE(aFailureOfAnAttemptThatWasNotGivenUpDoesNotCount)
{
    CellState state = withJob(support::step(1, 1000));
    endTask(state, 0, 1, EndKind::Failed);
    placeAll(state, 1, 1);
    state.apply(support::end(support::key(1, 0, 0), 1, 9, EndKind::Failed));
    endTask(state, 0, 2, EndKind::Failed);
    BOOST_TEST(failuresOf(state) == 0U);
}

/// A late end carries the checkpoint of its own run, which must not replace that of a later run: members of a gang would start with different ones.
BOOST_AUTO_TEST_CASE(aLateFailureLeavesTheCheckpointOfALaterRun)
{
    CellState state = withJob(gangStep());
    placeAll(state, 2, 1);
    endTask(state, 0, 1, EndKind::UpstreamGone);
    endTask(state, 1, 1, EndKind::Broken, "older");
    placeAll(state, 2, 2);
    endTask(state, 1, 2, EndKind::Broken, "newer");
    endTask(state, 0, 1, EndKind::Failed, "older");
    BOOST_TEST(state.task(ref(0))->checkpoint == "newer");
    BOOST_TEST(state.task(ref(1))->checkpoint == "newer");
}

/// Copies of a task are runs of their own; each that fails counts once.
BOOST_AUTO_TEST_CASE(eachCopyOfATaskThatFailsCountsOnce)
{
    auto step = support::step(1, 1000);
    step->copies = true;
    CellState state = withJob(std::move(step));
    placeAll(state, 1, 1);
    placeAll(state, 1, 2);
    endTask(state, 0, 2, EndKind::Failed);
    endTask(state, 0, 2, EndKind::Failed);
    BOOST_TEST(failuresOf(state) == 1U);
    endTask(state, 0, 1, EndKind::Failed);
    BOOST_TEST(failuresOf(state) == 2U);
    BOOST_TEST((state.jobNamed("j")->state == JobState::Failed));
}

/// An earlier version may have counted the end already without saying whose failure it was, so it does not count again.
BOOST_AUTO_TEST_CASE(aLateFailureBesideFailuresOfUnknownAttemptsDoesNotCount)
{
    CellState state = withJob(support::step(1, 1000));
    placeAll(state, 1, 1);
    cell::wire::CommandT earlier = support::end(support::key(1, 0, 0), 1, 1, EndKind::Failed);
    earlier.counts_runs = false;
    state.apply(earlier);
    endTask(state, 0, 1, EndKind::Failed);
    BOOST_TEST(failuresOf(state) == 1U);
}

/// A log of an earlier version, which ignored such ends, is read as before.
BOOST_AUTO_TEST_CASE(aLateFailureInACommandOfAnEarlierVersionDoesNotCount)
{
    CellState state = withJob(support::step(1, 1000));
    placeAll(state, 1, 1);
    endTask(state, 0, 1, EndKind::UpstreamGone);
    cell::wire::CommandT earlier = support::end(support::key(1, 0, 0), 1, 1, EndKind::Failed);
    earlier.counts_runs = false;
    state.apply(earlier);
    BOOST_TEST(failuresOf(state) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
