#include "cell/CellTerm.h"

#include "cell/CellRig.h"
#include "support/Seed.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cranberryreel;
using cell::RunEnd;
using cell::wire::JobState;
using std::chrono::milliseconds;
using support::CellRig;

namespace
{

const std::string First = "j.0.0.0";

} // namespace

BOOST_AUTO_TEST_SUITE(CellTermTest)

BOOST_AUTO_TEST_CASE(aJobRunsToItsEnd)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    BOOST_TEST((rig.submit(support::job("j", support::step(2, 1000))) == base::ResultCode::Ok));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.runningTasks().size() == 2; }));
    rig.upstreams.finish("u1", First, RunEnd::Done);
    rig.upstreams.finish("u1", "j.0.0.1", RunEnd::Done);
    BOOST_TEST(rig.runUntil([&] { return rig.stateOf("j") == JobState::Completed; }));
    // Its ends are acknowledged, so that the upstream may forget them.
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.upstreams["u1"].ended.empty(); }));
}

BOOST_AUTO_TEST_CASE(anEndIsAcknowledgedOnlyOnceTheGroupKeepsIt)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.placeOf(First).empty(); }));
    rig.group.leads = false;
    rig.upstreams.finish("u1", First, RunEnd::Failed);
    rig.run(milliseconds(100));
    BOOST_TEST(rig.upstreams.upstreams["u1"].ended.size() == 1U);
    rig.group.leads = true;
    rig.takeOver();
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.upstreams["u1"].ended.empty(); }));
    BOOST_TEST(rig.store.read([](const cell::CellState &state) { return state.task(cell::toRef(support::key(1, 0, 0)))->failures; }) == 1U);
}

/// Load pattern: an upstream leaves orders unanswered and carries them out seconds later.
BOOST_AUTO_TEST_CASE(aTaskWhoseStartHadNoAnswerNeverRunsTwice)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.upstreams.upstreams["u1"].dropsStarts = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreams["u1"].late.size() >= 3; }));
    rig.addUpstream("u2", 4000);
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.placeOf(First) == "u2"; }));
    rig.upstreams.arriveLate("u1");
    rig.run(milliseconds(50));
    BOOST_TEST(rig.upstreams.doubled.empty());
}

/// Load pattern: short tasks on a busy leader, whose calls run into their limit; the task is over before the order is repeated.
BOOST_AUTO_TEST_CASE(aTaskThatEndedBeforeItsStartWasAnsweredIsDone)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.upstreams.upstreams["u1"].losesAnswers = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.placeOf(First).empty(); }));
    rig.upstreams.finish("u1", First, RunEnd::Done);
    rig.upstreams.upstreams["u1"].losesAnswers = false;
    BOOST_TEST(rig.runUntil([&] { return rig.stateOf("j") == JobState::Completed; }));
    BOOST_TEST(rig.upstreams.startsOf[First] == 1);
}

/// Load pattern: the connections to an upstream fail for starts and stops while it goes on renewing.
BOOST_AUTO_TEST_CASE(aStopThatNeverGetsThroughEndsWithTheOrdersDeadline)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.upstreams.upstreams["u1"].dropsStarts = true;
    rig.upstreams.upstreams["u1"].dropsStops = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreams["u1"].late.size() >= 3; }));
    rig.addUpstream("u2", 4000);
    rig.run(milliseconds(200));
    BOOST_TEST(rig.upstreams.placeOf(First).empty()); // The order may still arrive in time.
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.placeOf(First) == "u2"; }));
    rig.upstreams.arriveLate("u1");
    BOOST_TEST(rig.upstreams.doubled.empty());
}

BOOST_AUTO_TEST_CASE(aGangThatLosesAMemberIsStoppedAtOnce)
{
    CellRig rig;
    rig.addUpstream("u1", 1000);
    rig.addUpstream("u2", 1000);
    rig.upstreams.upstreams["u2"].dropsStarts = true;
    rig.upstreams.upstreams["u2"].dropsStops = true;
    auto gang = support::step(2, 1000);
    gang->gang = true;
    rig.submit(support::job("j", std::move(gang)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.startsOf.size() == 1; }));
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.runningTasks().empty(); }, milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(aNewLeaderFindsWhatRunsAndStartsItNowhereElse)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.addUpstream("u2", 8000);
    rig.submit(support::job("j", support::step(3, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.runningTasks().size() == 3; }));
    rig.takeOver();
    rig.run(milliseconds(300));
    BOOST_TEST(rig.upstreams.runningTasks().size() == 3U);
    BOOST_TEST(rig.upstreams.doubled.empty());
    for (const auto &[task, starts] : rig.upstreams.startsOf) {
        BOOST_TEST(starts == 1);
    }
}

BOOST_AUTO_TEST_CASE(aNewLeaderWaitsOutTheLeasesOfAnUpstreamItCannotReach)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.placeOf(First) == "u1"; }));
    rig.addUpstream("u2", 4000);
    rig.upstreams.upstreams["u1"].reachable = false;
    rig.takeOver();
    const base::SteadyTime since = base::steadyNow();
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreams["u2"].running.count(First) > 0; }));
    BOOST_TEST((base::steadyNow() - since >= milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(workOfAnUpstreamThatCameBackAnewRunsAgain)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.placeOf(First).empty(); }));
    rig.upstreams.restart("u1");
    rig.announce("u1", 1);
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.startsOf[First] == 2; }));
    BOOST_TEST(rig.upstreams.doubled.empty());
}

BOOST_AUTO_TEST_CASE(aCancelledJobIsStoppedAndStaysSo)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(4, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.runningTasks().size() == 4; }));
    BOOST_TEST((rig.cancel("j") == base::ResultCode::Ok));
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.runningTasks().empty(); }));
    rig.run(milliseconds(100));
    BOOST_TEST(rig.upstreams.runningTasks().empty());
    BOOST_TEST((rig.stateOf("j") == JobState::Cancelled));
}

/// Load pattern: the word of an earlier life that it ends arrives late, while the zone's relay is cut off.
BOOST_AUTO_TEST_CASE(anUpstreamThatSaysItEndsIsGoneOnlyWhenNobodyListensThere)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.placeOf(First).empty(); }));
    rig.addUpstream("u2", 8000);
    auto &scripted = rig.upstreams.upstreams["u1"];
    scripted.reachable = false;
    scripted.whenUnreachable = cell::OrderAnswer::NotSent;
    rig.leave("u1");
    rig.run(milliseconds(300)); // Its lease goes on for longer.
    BOOST_TEST(rig.upstreams.placeOf(First) == "u1");
    BOOST_TEST(rig.upstreams.doubled.empty());
    scripted.whenUnreachable = cell::OrderAnswer::Absent;
    scripted.running.clear();
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.placeOf(First) == "u2"; }));
}

/// Load pattern: a disk stalls between a plan and its commit, and the tickets of the plan are too old when it goes on.
BOOST_AUTO_TEST_CASE(noOrderCarriesATicketThatRanOut)
{
    CellRig rig;
    auto rules = support::rules(2);
    rules->queues.front()->advice = std::make_unique<cell::wire::AdviceT>();
    rules->queues.front()->advice->valid_ms = 700;
    rig.put(std::move(rules));
    rig.addUpstream("u1", 8000);
    rig.advice.whenAsked = [&rig] { rig.group.stalls = rig.advice.asked == 1; };
    rig.submit(support::job("j", support::step(1, 1000)));
    rig.run(milliseconds(900));
    BOOST_REQUIRE(rig.advice.asked == 1);
    rig.group.resume();
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.placeOf(First).empty(); }));
    BOOST_TEST(rig.upstreams.upstreams["u1"].startsAsked == 1);
    BOOST_TEST(rig.advice.asked == 2);
}

BOOST_AUTO_TEST_CASE(anUpstreamWithoutRoomIsTriedNoMoreForAWhile)
{
    CellRig rig;
    rig.addUpstream("u1", 4000);
    rig.addUpstream("u2", 8000);
    rig.upstreams.upstreams["u1"].refusesForRoom = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.placeOf(First) == "u2"; }));
}

/// Many jobs under all faults of the scripted upstreams together: no task ever runs twice at a time, and all end once the faults do.
/// A VM of another version may send calls that verify as tables and yet lack what their kind needs.
BOOST_AUTO_TEST_CASE(aCallThatLacksItsBodyIsRefusedAndTheSchedulerGoesOn)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    const auto withStep = [](std::vector<std::uint32_t> after) {
        auto step = support::step(1, 1000);
        step->after = std::move(after);
        return support::job("bad", std::move(step));
    };
    std::vector<cell::wire::CallT> calls(8);
    calls[0].kind = cell::wire::CallKind::Submit;
    calls[1].kind = cell::wire::CallKind::Submit;
    calls[1].job = support::job("bad", std::vector<std::unique_ptr<cell::wire::StepT>>());
    calls[2].kind = cell::wire::CallKind::Submit;
    calls[2].job = withStep({0}); // After itself.
    calls[3].kind = cell::wire::CallKind::Submit;
    calls[3].job = withStep({7});
    calls[4].kind = cell::wire::CallKind::PutRules;
    calls[5].kind = cell::wire::CallKind::Announce;
    calls[6].kind = cell::wire::CallKind::Announce;
    calls[6].announcement = std::make_unique<cell::wire::AnnouncementT>();
    calls[7].kind = cell::wire::CallKind::Relay;
    for (cell::wire::CallT &call : calls) {
        call.host = "host";
        call.path = "/quick/bad";
        const base::ResultCode answer = rig.call(std::move(call));
        BOOST_TEST((answer != base::ResultCode::Ok));
    }
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.runningTasks().size() == 1; }));
}

BOOST_AUTO_TEST_CASE(underFaultsNothingRunsTwiceAndAllOfItEnds)
{
    std::mt19937 random(support::testSeed());
    CellRig rig;
    const std::vector<std::string> ids = {"u1", "u2", "u3"};
    for (const std::string &id : ids) {
        rig.addUpstream(id, 6000);
    }
    std::vector<std::string> jobs;
    const auto finishSome = [&] {
        for (const std::string &id : ids) {
            const auto running = rig.upstreams.upstreams[id].running;
            for (const auto &[task, held] : running) {
                if (random() % 3 == 0) {
                    rig.upstreams.finish(id, task, RunEnd::Done);
                }
            }
        }
    };
    for (int round = 0; round < 60; ++round) {
        const std::string id = "job" + std::to_string(round);
        rig.submit(support::job(id, support::step(1 + random() % 4, 1000)));
        jobs.push_back(id);
        auto &upstream = rig.upstreams.upstreams[ids[random() % ids.size()]];
        upstream.reachable = random() % 4 != 0;
        upstream.dropsStarts = random() % 4 == 0;
        upstream.dropsStops = random() % 4 == 0;
        if (random() % 3 == 0) {
            rig.upstreams.arriveLate(ids[random() % ids.size()]);
        }
        if (random() % 10 == 0) {
            rig.takeOver();
        }
        finishSome();
        rig.run(milliseconds(20));
    }
    for (auto &[id, upstream] : rig.upstreams.upstreams) {
        upstream.reachable = true;
        upstream.dropsStarts = false;
        upstream.dropsStops = false;
    }
    const auto allDone = [&] {
        finishSome();
        return std::all_of(jobs.begin(), jobs.end(), [&](const std::string &id) { return rig.stateOf(id) == JobState::Completed; });
    };
    BOOST_TEST(rig.runUntil(allDone, std::chrono::seconds(40)));
    BOOST_TEST(rig.upstreams.doubled.empty());
}

BOOST_AUTO_TEST_SUITE_END()
