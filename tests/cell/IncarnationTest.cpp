#include "cell/CellRig.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using cell::RunEndKind;
using cell::wire::JobState;
using std::chrono::milliseconds;
using support::CellRig;

namespace
{

/// Runs a job of one task on "u1" to its end and until the end is acknowledged; returns false if that takes too long.
bool completeJob(CellRig &rig, const std::string &id)
{
    rig.submit(support::job(id, support::step(1, 1000)));
    const std::string task = id + ".0.0.0";
    if (!rig.runUntil([&] { return rig.upstreams.upstreamOf(task) == "u1"; }, std::chrono::seconds(2))) {
        return false;
    }
    rig.upstreams.finish("u1", task, RunEndKind::Done);
    return rig.runUntil([&] { return rig.jobState(id) == JobState::Completed && rig.upstreams.upstreams["u1"].ended.empty(); }, std::chrono::seconds(2));
}

} // namespace

BOOST_AUTO_TEST_SUITE(IncarnationTest)

/// Failure: a renewal repeated after an upstream's restart carried the acknowledgement of the earlier incarnation, so that the upstream forgot an end that
/// nobody had recorded, and the task ran twice.
BOOST_AUTO_TEST_CASE(anAcknowledgementOfAnEarlierIncarnationDoesNotReachTheNextOne)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("long", support::step(1, 1000))); // Keeps a renewal waiting at the upstream.
    for (const char *id : {"a", "b", "c"}) {
        BOOST_REQUIRE(completeJob(rig, id));
    }
    rig.upstreams.upstreams["u1"].holdsRenewals = true;
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.heldRenewals.empty(); }));
    rig.upstreams.restart("u1");
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.startCounts["j.0.0.0"] == 1; }));
    rig.upstreams.finish("u1", "j.0.0.0", RunEndKind::Done);
    rig.upstreams.breakRenewals();
    BOOST_TEST(rig.runUntil([&] { return rig.jobState("j") == JobState::Completed; }));
    BOOST_TEST(rig.upstreams.startCounts["j.0.0.0"] == 1);
}

/// Guards the above: an acknowledgement that was withheld from a repeated renewal follows, also on an upstream that runs nothing else.
BOOST_AUTO_TEST_CASE(aWithheldAcknowledgementFollows)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("j.0.0.0") == "u1"; }));
    rig.group.stalls = true;
    rig.upstreams.finish("u1", "j.0.0.0", RunEndKind::Done);
    rig.run(milliseconds(100)); // The end has been listed and is being committed.
    auto &scripted = rig.upstreams.upstreams["u1"];
    scripted.holdsRenewals = true;
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.heldRenewals.empty(); }));
    rig.group.resume();
    BOOST_REQUIRE(rig.runUntil([&] { return rig.jobState("j") == JobState::Completed; }));
    scripted.holdsRenewals = false;
    rig.upstreams.breakRenewals();
    BOOST_TEST(rig.runUntil([&] { return scripted.ended.empty(); }, milliseconds(3000)));
}

/// Failure: a leave message of an earlier incarnation arrived late, and the leases of the present one were never renewed again; all its runs lapsed.
BOOST_AUTO_TEST_CASE(aLeaveMessageOfAnEarlierIncarnationDoesNotEndTheRenewalOfLeases)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.startCounts["j.0.0.0"] == 1; }));
    rig.leave("u1");
    rig.run(milliseconds(1000)); // Leases last 400 ms.
    BOOST_TEST(rig.upstreams.upstreamOf("j.0.0.0") == "u1");
    BOOST_TEST(rig.upstreams.startCounts["j.0.0.0"] == 1);
    // The message has no effect later either: an address where nobody listens for a moment does not remove the upstream.
    rig.upstreams.upstreams["u1"].unreachableStatus = cell::UpstreamCallStatus::Absent;
    rig.upstreams.upstreams["u1"].reachable = false;
    rig.run(milliseconds(100));
    BOOST_TEST(rig.store.read([](const cell::CellState &state) { return state.upstreamNamed("u1") != nullptr; }));
}

/// Failure: as above, for a leave message that is true; an upstream may serve for many seconds after it, and the tasks there lapsed before it ended.
BOOST_AUTO_TEST_CASE(anUpstreamThatLeavesKeepsItsLeasesUntilItEnds)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.startCounts["j.0.0.0"] == 1; }));
    rig.announceDraining("u1", 2);
    rig.leave("u1");
    rig.run(milliseconds(1000));
    BOOST_TEST(rig.upstreams.upstreamOf("j.0.0.0") == "u1");
    rig.addUpstream("u2", 8000);
    rig.upstreams.upstreams["u1"].unreachableStatus = cell::UpstreamCallStatus::Absent;
    rig.upstreams.upstreams["u1"].reachable = false;
    rig.upstreams.upstreams["u1"].running.clear();
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.upstreamOf("j.0.0.0") == "u2"; }, milliseconds(300)));
}

/// Failure: an upstream that had drained began again; until its new record was committed, an address where nobody listened removed it as if it still drained.
BOOST_AUTO_TEST_CASE(anUpstreamThatBeganAgainAfterDrainingIsNotRemovedForTheDrainingOfTheEarlierIncarnation)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    const auto numberOf = [&rig] {
        return rig.store.read([](const cell::CellState &state) { return state.upstreamNamed("u1") == nullptr ? 0 : state.upstreamNamed("u1")->number; });
    };
    const std::uint64_t number = numberOf();
    rig.announceDraining("u1", 2);
    rig.run(milliseconds(100));
    rig.upstreams.restart("u1");
    rig.upstreams.upstreams["u1"].unreachableStatus = cell::UpstreamCallStatus::Absent; // At the recorded address, which is that of the earlier incarnation.
    rig.upstreams.upstreams["u1"].reachable = false;
    rig.group.stalls = true;
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::Announce;
    call.announcement = std::make_unique<cell::wire::AnnouncementT>();
    call.announcement->upstream = support::upstream("u1", 8000);
    call.announcement->upstream->born_ms = rig.upstreams.upstreams["u1"].bornMs;
    call.announcement->sequence = 1;
    const auto answered = rig.send(std::move(call));
    rig.run(milliseconds(200));
    rig.group.resume();
    BOOST_REQUIRE(rig.runUntil([answered] { return answered->has_value(); }));
    rig.run(milliseconds(100));
    BOOST_TEST(numberOf() == number);
}

/// Failure: an upstream began again at another address; the refusal from its earlier address, where another upstream listened by then, removed it.
BOOST_AUTO_TEST_CASE(aRefusalFromTheAddressOfAnEarlierIncarnationDoesNotRemoveTheUpstream)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    const auto numberOf = [&rig] {
        return rig.store.read([](const cell::CellState &state) { return state.upstreamNamed("u1") == nullptr ? 0 : state.upstreamNamed("u1")->number; });
    };
    const std::uint64_t number = numberOf();
    rig.upstreams.upstreams["u1"].holdsStarts = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.heldStarts.empty(); }));
    rig.upstreams.restart("u1");
    rig.announce("u1", 1);
    rig.upstreams.answerStarts(cell::UpstreamCallStatus::OtherUpstream);
    rig.run(milliseconds(50));
    BOOST_TEST(numberOf() == number);
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.upstreamOf("j.0.0.0") == "u1"; }));
}

/// Failure: an upstream began again with a quarter of its size and was filled to its earlier size until it announced itself.
BOOST_AUTO_TEST_CASE(nothingIsPlacedOnARestartedUpstreamUntilItAnnouncesItself)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("long", support::step(1, 1000))); // Keeps renewals going, which show the restart.
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("long.0.0.0") == "u1"; }));
    rig.upstreams.restart("u1");
    rig.submit(support::job("j", support::step(8, 1000)));
    rig.run(milliseconds(200));
    BOOST_TEST(rig.upstreams.runningTasks().empty());
    rig.takeOver(); // Holds for the next leader too.
    rig.run(milliseconds(200));
    BOOST_TEST(rig.upstreams.runningTasks().empty());
    const auto smaller = support::upstream("u1", 2000);
    smaller->born_ms = rig.upstreams.upstreams["u1"].bornMs;
    rig.announce(*smaller, 1);
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.runningTasks().size() == 2; }));
    rig.run(milliseconds(100));
    BOOST_TEST(rig.upstreams.runningTasks().size() == 2U);
}

/// Failure: an answer of the advice service that was asked for before a restart was taken for one for the next incarnation. The upstream refused starts with
/// the ticket, and the tasks waited for another query.
BOOST_AUTO_TEST_CASE(aTicketAskedForBeforeARestartIsNotUsedAfterIt)
{
    CellRig rig;
    auto rules = support::rules(2);
    rules->queues.front()->advice = std::make_unique<cell::wire::AdviceT>();
    rules->queues.front()->advice->valid_ms = 5000;
    rig.putRules(std::move(rules));
    rig.addUpstream("u1", 8000);
    rig.advice.holdsAnswers = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.advice.queries == 1; }));
    rig.upstreams.restart("u1");
    const auto next = support::upstream("u1", 8000);
    next->born_ms = rig.upstreams.upstreams["u1"].bornMs;
    rig.announce(*next, 1);
    rig.run(milliseconds(100));
    rig.advice.holdsAnswers = false;
    rig.advice.answerHeld();
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("j.0.0.0") == "u1"; }));
    BOOST_TEST(rig.advice.queries == 2);
    BOOST_TEST(rig.upstreams.upstreams["u1"].startRequests == 1);
}

/// Failure: an upstream whose clock was set back began again with an earlier start time; it was taken for the earlier incarnation, and its first ends for ends
/// already recorded, so that tasks that were done ran again.
BOOST_AUTO_TEST_CASE(anIncarnationBornEarlierByItsClockIsRecognized)
{
    CellRig rig;
    rig.upstreams.upstreams["u1"].bornMs = 10;
    rig.addUpstream("u1", 8000);
    rig.announce("u1", 1);
    for (const char *id : {"a", "b", "c"}) {
        BOOST_REQUIRE(completeJob(rig, id));
    }
    rig.upstreams.restart("u1");
    rig.upstreams.upstreams["u1"].bornMs = 5;
    rig.announce("u1", 1);
    BOOST_TEST(completeJob(rig, "d"));
    BOOST_TEST(rig.upstreams.startCounts["d.0.0.0"] == 1);
    // A delayed announcement of the earlier incarnation changes nothing for long.
    rig.upstreams.upstreams["u1"].bornMs = 10;
    rig.announce("u1", 9);
    rig.upstreams.upstreams["u1"].bornMs = 5;
    rig.run(milliseconds(50));
    rig.announce("u1", 2);
    BOOST_TEST(completeJob(rig, "e"));
    BOOST_TEST(rig.upstreams.startCounts["e.0.0.0"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()
