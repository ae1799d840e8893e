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

/// The budget of the samples' queues is two failed runs.
constexpr std::uint32_t Members = 3;

std::unique_ptr<cell::wire::StepT> gangStep()
{
    auto gang = support::step(Members, 1000);
    gang->gang = true;
    gang->per_upstream = 1;
    return gang;
}

CellState withGang()
{
    CellState state;
    state.apply(support::put(support::rules(1)));
    state.apply(support::announce(support::upstream("u1", 8000)));
    state.apply(support::accept(support::job("j", gangStep())));
    return state;
}

void placeGang(CellState &state, std::uint32_t attempt)
{
    for (std::uint32_t member = 0; member < Members; ++member) {
        state.apply(support::place(support::key(1, 0, member), attempt, 1));
    }
}

/// Ends a run of the gang: the members of the set, as bits, fail, the others are broken. One command for each end, or one for all.
void endGang(CellState &state, std::uint32_t attempt, unsigned failed, bool oneCommand)
{
    cell::wire::CommandT all;
    for (std::uint32_t member = 0; member < Members; ++member) {
        const EndKind kind = (failed >> member & 1U) != 0 ? EndKind::Failed : EndKind::Broken;
        cell::wire::CommandT single = support::end(support::key(1, 0, member), attempt, 1, kind);
        if (oneCommand) {
            all.ends.push_back(std::move(single.ends.front()));
        } else {
            state.apply(single);
            state = CellState::decode(state.encode());
        }
    }
    if (oneCommand) {
        cell::wire::CommandT command = support::end(support::key(1, 0, 0), attempt, 1, EndKind::Failed);
        command.ends = std::move(all.ends);
        state.apply(command);
    }
}

JobState stateOf(const CellState &state)
{
    return state.jobNamed("j")->state;
}

std::string member(std::uint32_t index)
{
    return "j.0.0." + std::to_string(index);
}

/// A cell whose gang runs, each member on an upstream of its own; no upstream carries out a stop.
void startGang(CellRig &rig)
{
    for (const char *id : {"u1", "u2", "u3", "u4"}) {
        rig.addUpstream(id, 8000);
        rig.upstreams.upstreams[id].dropsStops = true;
    }
    rig.submit(support::job("j", gangStep()));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.runningTasks().size() == Members; }));
}

void finish(CellRig &rig, std::uint32_t index, RunEndKind how, const std::string &checkpoint = {})
{
    rig.upstreams.finish(rig.upstreams.upstreamOf(member(index)), member(index), how, checkpoint);
}

std::uint32_t failuresOf(const CellRig &rig)
{
    return rig.store.read([](const CellState &state) { return cell::countedFailures(*state.jobNamed("j"), cell::toRef(support::key(1, 0, 0))); });
}

bool runsAgain(CellRig &rig, int starts)
{
    return rig.runUntil([&rig, starts] { return rig.upstreams.runningTasks().size() == Members && rig.upstreams.startCounts[member(0)] == starts; },
                        milliseconds(3000));
}

} // namespace

BOOST_AUTO_TEST_SUITE(GangFailuresTest)

/// Failure: two members of one run ended failed, which used up a budget of two runs, and the job was shown as failed after one attempt.
BOOST_AUTO_TEST_CASE(aRunInWhichTwoMembersFailCountsOnceAndTheJobGoesOn)
{
    for (const bool oneCommand : {false, true}) {
        CellState state = withGang();
        placeGang(state, 1);
        endGang(state, 1, 0b011, oneCommand);
        BOOST_TEST((stateOf(state) == JobState::Running));
        placeGang(state, 2);
        state.apply(support::end(support::key(1, 0, 1), 2, 1, EndKind::Done));
        BOOST_TEST((stateOf(state) == JobState::Completed));
    }
}

/// The budget is exact: whichever members fail in the two runs, the job fails with the second one.
BOOST_AUTO_TEST_CASE(aGangFailsWithItsSecondFailedRunWhicheverMembersFailed)
{
    for (unsigned first = 1; first < 1U << Members; ++first) {
        for (unsigned second = 1; second < 1U << Members; ++second) {
            CellState state = withGang();
            placeGang(state, 1);
            endGang(state, 1, first, second % 2 == 0);
            BOOST_TEST((stateOf(state) == JobState::Running));
            placeGang(state, 2);
            endGang(state, 2, second, first % 2 == 0);
            BOOST_TEST((stateOf(state) == JobState::Failed));
        }
    }
}

BOOST_AUTO_TEST_CASE(endsOfOtherKindsCountForNoGang)
{
    CellState state = withGang();
    std::uint32_t attempt = 0;
    for (const EndKind kind : {EndKind::Lapsed, EndKind::Broken, EndKind::Alone, EndKind::Stopped, EndKind::NeverStarted, EndKind::UpstreamGone}) {
        placeGang(state, ++attempt);
        for (std::uint32_t index = 0; index < Members; ++index) {
            state.apply(support::end(support::key(1, 0, index), attempt, 1, kind));
        }
        BOOST_TEST((stateOf(state) == JobState::Running));
        BOOST_TEST(cell::countedFailures(*state.jobNamed("j"), cell::toRef(support::key(1, 0, 0))) == 0U);
    }
}

/// Tasks that are not in a gang have a budget each.
BOOST_AUTO_TEST_CASE(eachTaskOutsideAGangCountsItsOwnFailures)
{
    CellState state;
    state.apply(support::put(support::rules(1)));
    state.apply(support::announce(support::upstream("u1", 8000)));
    state.apply(support::accept(support::job("j", support::step(2, 1000))));
    for (std::uint32_t task = 0; task < 2; ++task) {
        state.apply(support::place(support::key(1, 0, task), 1, 1));
        state.apply(support::end(support::key(1, 0, task), 1, 1, EndKind::Failed));
        BOOST_TEST(state.task(cell::toRef(support::key(1, 0, task)))->failures == 1U);
    }
    BOOST_TEST((stateOf(state) == JobState::Running));
    state.apply(support::place(support::key(1, 0, 1), 2, 1));
    state.apply(support::end(support::key(1, 0, 1), 2, 1, EndKind::Failed));
    BOOST_TEST((stateOf(state) == JobState::Failed));
}

/// Failure: as above, with the members on several upstreams, whose ends come one after another.
BOOST_AUTO_TEST_CASE(aGangOnSeveralUpstreamsRunsAgainFromItsCheckpointAfterTwoMembersFailed)
{
    CellRig rig;
    startGang(rig);
    finish(rig, 0, RunEndKind::Failed);
    BOOST_REQUIRE(rig.runUntil([&] { return failuresOf(rig) == 1; }));
    finish(rig, 1, RunEndKind::Failed, "half");
    rig.run(milliseconds(100));
    finish(rig, 2, RunEndKind::Broken);
    BOOST_REQUIRE(runsAgain(rig, 2));
    for (const auto &[id, upstream] : rig.upstreams.upstreams) {
        for (const auto &[task, running] : upstream.running) {
            BOOST_TEST(running.checkpoint == "half");
        }
    }
    finish(rig, 2, RunEndKind::Done);
    BOOST_TEST(rig.runUntil([&] { return rig.jobState("j") == JobState::Completed; }));
    BOOST_TEST(rig.upstreams.ranTwice.empty());
}

/// Failure: as above, with a change of leader and a snapshot between the ends of two members.
BOOST_AUTO_TEST_CASE(endsOfOneRunBeforeAndAfterAChangeOfLeaderCountOnce)
{
    CellRig rig;
    startGang(rig);
    finish(rig, 2, RunEndKind::Failed);
    BOOST_REQUIRE(rig.runUntil([&] { return failuresOf(rig) == 1; }));
    rig.store.restore(rig.store.snapshot());
    rig.takeOver();
    finish(rig, 0, RunEndKind::Failed);
    finish(rig, 1, RunEndKind::Failed);
    BOOST_REQUIRE(runsAgain(rig, 2));
    BOOST_TEST(failuresOf(rig) == 1U);
    finish(rig, 1, RunEndKind::Failed);
    BOOST_TEST(rig.runUntil([&] { return rig.jobState("j") == JobState::Failed; }));
    BOOST_TEST(failuresOf(rig) == 2U);
}

/// What commands of earlier versions counted stays counted: a log that is read again gives no job an attempt that it has used up.
BOOST_AUTO_TEST_CASE(commandsOfEarlierVersionsCountEachMembersEnd)
{
    CellState state = withGang();
    placeGang(state, 1);
    for (std::uint32_t index = 0; index < 2; ++index) {
        BOOST_TEST((stateOf(state) == JobState::Running));
        cell::wire::CommandT earlier = support::end(support::key(1, 0, index), 1, 1, EndKind::Failed);
        earlier.counts_runs = false;
        state.apply(earlier);
    }
    BOOST_TEST((stateOf(state) == JobState::Failed));
    BOOST_TEST(state.task(cell::toRef(support::key(1, 0, 0)))->failed_attempts.empty());
}

/// The state of an earlier version has counts without attempts; one failed run uses up what is left of the budget.
BOOST_AUTO_TEST_CASE(failuresInTheStateOfAnEarlierVersionStayCounted)
{
    CellState state = withGang();
    placeGang(state, 1);
    cell::wire::CommandT earlier = support::end(support::key(1, 0, 0), 1, 1, EndKind::Failed);
    earlier.counts_runs = false;
    state.apply(earlier);
    state = CellState::decode(state.encode());
    state.apply(support::end(support::key(1, 0, 1), 1, 1, EndKind::Broken));
    state.apply(support::end(support::key(1, 0, 2), 1, 1, EndKind::Broken));
    placeGang(state, 2);
    BOOST_TEST((stateOf(state) == JobState::Running));
    endGang(state, 2, 0b100, false);
    BOOST_TEST((stateOf(state) == JobState::Failed));
}

BOOST_AUTO_TEST_SUITE_END()
