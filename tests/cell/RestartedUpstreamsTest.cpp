#include "cell/CellRig.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using std::chrono::milliseconds;
using support::CellRig;

namespace
{

const std::string Task = "j.0.0.0";

/// Adds "u1", which has been up for a minute, so that the deadlines of its requests lie far ahead on the clock of its next incarnation.
void addOldUpstream(CellRig &rig)
{
    rig.upstreams.upstreams["u1"].startedAt -= std::chrono::minutes(1);
    rig.addUpstream("u1", 8000);
}

/// Runs the task on "u1", while the first of its start requests is still on its way; "u2" is free.
void runWithDelayedStart(CellRig &rig)
{
    auto &upstream = rig.upstreams.upstreams["u1"];
    upstream.dropsStarts = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !upstream.delayedStarts.empty(); }));
    upstream.dropsStarts = false;
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf(Task) == "u1"; }));
    rig.addUpstream("u2", 8000);
    rig.run(milliseconds(50));
}

/// The upstream restarts before its delayed requests arrive, and announces itself at once, too small for the task.
void restartTooSmall(CellRig &rig)
{
    rig.upstreams.restartBeforeDelayedRequests("u1");
    const auto smaller = support::upstream("u1", 500);
    smaller->born_ms = rig.upstreams.upstreams["u1"].bornMs;
    rig.announce(*smaller, 1);
}

/// Delivers an announcement of the incarnation of "u1" that runs, without waiting for its commit.
void sendAnnouncement(CellRig &rig, std::uint32_t cpuMillis, const std::string &address = {})
{
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::Announce;
    call.announcement = std::make_unique<cell::wire::AnnouncementT>();
    call.announcement->upstream = support::upstream("u1", cpuMillis);
    call.announcement->upstream->born_ms = rig.upstreams.upstreams["u1"].bornMs;
    if (!address.empty()) {
        call.announcement->upstream->address = address;
    }
    call.announcement->sequence = 1;
    rig.send(std::move(call));
}

/// Checks that the delayed start has no effect on "u1" once the task runs on "u2".
void checkThatTheDelayedStartHasNoEffect(CellRig &rig)
{
    auto &upstream = rig.upstreams.upstreams["u1"];
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf(Task) == "u2"; }));
    const milliseconds deadline = upstream.deadline;
    BOOST_REQUIRE(!upstream.delayedStarts.empty());
    rig.upstreams.deliverDelayedStarts("u1");
    BOOST_TEST(rig.upstreams.ranTwice.empty());
    BOOST_TEST((upstream.deadline == deadline));
}

} // namespace

BOOST_AUTO_TEST_SUITE(RestartedUpstreamsTest)

/// Failure: a start was repeated and carried out; the upstream restarted, the leader read that it ran nothing and started the task elsewhere. The first start
/// request then reached the next incarnation, and the task ran twice.
BOOST_AUTO_TEST_CASE(aDelayedStartIsNotCarriedOutByTheNextIncarnation)
{
    CellRig rig;
    addOldUpstream(rig);
    runWithDelayedStart(rig);
    rig.upstreams.restartBeforeDelayedRequests("u1");
    checkThatTheDelayedStartHasNoEffect(rig);
}

/// The same failure after two restarts, of which the leader saw the second one only.
BOOST_AUTO_TEST_CASE(aDelayedStartIsNotCarriedOutAfterTwoRestartsAtOnce)
{
    CellRig rig;
    addOldUpstream(rig);
    runWithDelayedStart(rig);
    rig.upstreams.restartBeforeDelayedRequests("u1");
    rig.upstreams.restartBeforeDelayedRequests("u1");
    checkThatTheDelayedStartHasNoEffect(rig);
}

/// The same failure with a start that was meant for the second of three incarnations.
BOOST_AUTO_TEST_CASE(aDelayedStartOfALaterIncarnationIsNotCarriedOutByTheOneAfterIt)
{
    CellRig rig;
    addOldUpstream(rig);
    rig.upstreams.restart("u1");
    rig.announce("u1", 1);
    rig.run(milliseconds(50));
    rig.upstreams.upstreams["u1"].startedAt -= std::chrono::minutes(1);
    runWithDelayedStart(rig);
    restartTooSmall(rig);
    checkThatTheDelayedStartHasNoEffect(rig);
}

/// The same failure with a start of a leader that took over.
BOOST_AUTO_TEST_CASE(aDelayedStartOfANewLeaderIsNotCarriedOutByTheNextIncarnation)
{
    CellRig rig;
    addOldUpstream(rig);
    rig.takeOver();
    rig.run(milliseconds(50));
    runWithDelayedStart(rig);
    restartTooSmall(rig);
    checkThatTheDelayedStartHasNoEffect(rig);
}

/// Guards the above across a change of leader: the next leader counts the incarnations anew, and its requests must pass for later ones all the same.
BOOST_AUTO_TEST_CASE(aNewLeaderReachesAnUpstreamThatRestartedOftenAndADelayedStartHasNoEffect)
{
    CellRig rig;
    addOldUpstream(rig);
    for (int i = 0; i < 3; ++i) {
        rig.upstreams.restart("u1");
        rig.announce("u1", 1);
        rig.run(milliseconds(50));
    }
    rig.upstreams.upstreams["u1"].startedAt -= std::chrono::minutes(1);
    runWithDelayedStart(rig);
    rig.upstreams.restartBeforeDelayedRequests("u1");
    rig.takeOver();
    checkThatTheDelayedStartHasNoEffect(rig);
    rig.announce("u1", 1);
    rig.submit(support::job("k", support::step(12, 1000))); // Needs both upstreams.
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.upstreams["u1"].running.size() >= 5U; }));
}

/// The same failure where the upstream had ended and was removed before its next incarnation announced itself.
BOOST_AUTO_TEST_CASE(aDelayedStartIsNotCarriedOutByAnUpstreamThatWasRemovedAndAddedAgain)
{
    CellRig rig;
    addOldUpstream(rig);
    runWithDelayedStart(rig);
    auto &upstream = rig.upstreams.upstreams["u1"];
    upstream.reachable = false;
    upstream.unreachableStatus = cell::UpstreamCallStatus::Absent;
    upstream.running.clear();
    rig.leave("u1");
    const auto isRemoved = [&rig] { return rig.store.read([](const cell::CellState &state) { return state.upstreamNamed("u1") == nullptr; }); };
    BOOST_REQUIRE(rig.runUntil(isRemoved));
    rig.upstreams.restartBeforeDelayedRequests("u1");
    rig.announce("u1", 1);
    rig.run(milliseconds(50));
    checkThatTheDelayedStartHasNoEffect(rig);
}

/// Failure: as the first one, for a run whose start requests had no answer and which the earlier incarnation had confirmed as stopped.
BOOST_AUTO_TEST_CASE(aDelayedStartOfAStoppedRunIsNotCarriedOutByTheNextIncarnation)
{
    CellRig rig;
    addOldUpstream(rig);
    auto &upstream = rig.upstreams.upstreams["u1"];
    upstream.dropsStarts = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !upstream.delayedStarts.empty(); }));
    rig.addUpstream("u2", 8000);
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf(Task) == "u2"; }));
    BOOST_TEST(upstream.highestEnded.count(Task) == 1U);
    rig.upstreams.restartBeforeDelayedRequests("u1");
    rig.announce("u1", 1);
    rig.run(milliseconds(50));
    checkThatTheDelayedStartHasNoEffect(rig);
}

/// Failure: a renewal meant for the earlier incarnation reached the next one after the leader had read it, and let it work far longer than the leader knew.
BOOST_AUTO_TEST_CASE(aDelayedRenewalDoesNotExtendTheLeasesOfTheNextIncarnation)
{
    CellRig rig;
    addOldUpstream(rig);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf(Task) == "u1"; }));
    auto &upstream = rig.upstreams.upstreams["u1"];
    rig.run(milliseconds(50));
    upstream.renewalsToDrop = 1;
    BOOST_REQUIRE(rig.runUntil([&] { return !upstream.delayedRenewals.empty(); }));
    BOOST_REQUIRE(upstream.delayedRenewals.front().deadline.has_value());
    rig.addUpstream("u2", 8000);
    restartTooSmall(rig);
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf(Task) == "u2"; }));
    const milliseconds deadline = upstream.deadline;
    rig.upstreams.deliverDelayedRenewals("u1");
    BOOST_TEST((upstream.deadline == deadline));
}

/// Failure: a job was cancelled and its run confirmed as stopped; the upstream restarted, and its next incarnation carried out a delayed start before the
/// leader called it. The confirmation counted for that one too, so the run was not stopped there.
BOOST_AUTO_TEST_CASE(aStopThatTheEarlierIncarnationConfirmedIsRepeated)
{
    CellRig rig;
    addOldUpstream(rig);
    runWithDelayedStart(rig);
    auto &upstream = rig.upstreams.upstreams["u1"];
    upstream.holdsRenewals = true;
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.heldRenewals.empty(); }));
    rig.cancel("j");
    BOOST_REQUIRE(rig.runUntil([&] { return upstream.running.empty(); }));
    rig.run(milliseconds(50));
    rig.upstreams.restartBeforeDelayedRequests("u1");
    rig.upstreams.deliverDelayedStarts("u1");
    BOOST_REQUIRE(upstream.running.size() == 1U);
    rig.announce("u1", 1);
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.runningTasks().empty(); }, milliseconds(1000)));
}

/// Failure: a start without an answer was repeated on the next incarnation, which had no capacity for it.
BOOST_AUTO_TEST_CASE(aStartWithoutAnAnswerIsNotRepeatedOnTheNextIncarnation)
{
    CellRig rig;
    addOldUpstream(rig);
    auto &upstream = rig.upstreams.upstreams["u1"];
    upstream.dropsStarts = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !upstream.delayedStarts.empty(); }));
    restartTooSmall(rig);
    rig.addUpstream("u2", 8000);
    checkThatTheDelayedStartHasNoEffect(rig);
    BOOST_TEST(upstream.startRequests == 1);
}

/// Failure: a run that was to be stopped counted as running on the next incarnation until that one confirmed the stop, or until its clock had passed a deadline
/// on the clock of the earlier one.
BOOST_AUTO_TEST_CASE(aRunThatWasToBeStoppedIsOverOnceTheNextIncarnationIsRead)
{
    CellRig rig;
    addOldUpstream(rig);
    auto &upstream = rig.upstreams.upstreams["u1"];
    upstream.dropsStarts = true;
    upstream.dropsStops = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return upstream.delayedStarts.size() == 3U; }));
    rig.addUpstream("u2", 8000);
    rig.run(milliseconds(50));
    rig.upstreams.restartBeforeDelayedRequests("u1");
    upstream.dropsStops = true;
    rig.announce("u1", 1);
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf(Task) == "u2"; }, milliseconds(1000)));
    checkThatTheDelayedStartHasNoEffect(rig);
}

/// Failure: the refusal of a start by the earlier incarnation kept work away from the next one.
BOOST_AUTO_TEST_CASE(aRefusalOfTheEarlierIncarnationDoesNotExcludeTheNextOne)
{
    CellRig rig;
    addOldUpstream(rig);
    rig.upstreams.upstreams["u1"].holdsStarts = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.heldStarts.empty(); }));
    rig.upstreams.restart("u1");
    rig.announce("u1", 1);
    rig.upstreams.answerStarts(cell::UpstreamCallStatus::Unhealthy);
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.upstreamOf(Task) == "u1"; }, milliseconds(500)));
}

/// Failure: an answer to a start showed that the upstream had started again, but its runs were started elsewhere only when a renewal that waited at the earlier
/// incarnation had ended, or the next one announced itself.
BOOST_AUTO_TEST_CASE(aStartThatTheNextIncarnationAnsweredLetsTheLeaderReadIt)
{
    CellRig rig;
    addOldUpstream(rig);
    rig.submit(support::job("long", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("long.0.0.0") == "u1"; }));
    auto &upstream = rig.upstreams.upstreams["u1"];
    rig.run(milliseconds(50));
    upstream.holdsRenewals = true;
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.heldRenewals.empty(); }));
    rig.upstreams.restart("u1");
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.startCounts[Task] == 1; }));
    rig.addUpstream("u2", 8000);
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.upstreamOf("long.0.0.0") == "u2"; }, milliseconds(500)));
    BOOST_REQUIRE(!upstream.renewals.empty());
    BOOST_TEST(!upstream.renewals.front().deadline.has_value());
    rig.run(milliseconds(50));
    BOOST_TEST(rig.upstreams.startCounts[Task] == 1); // The next incarnation runs it.
    BOOST_TEST(upstream.running.count(Task) == 1U);
}

/// Guards the above: the answer to a start arrives after those to later renewals, which show a later time on the upstream's clock.
BOOST_AUTO_TEST_CASE(aDelayedAnswerIsNotTakenForThatOfTheNextIncarnation)
{
    CellRig rig;
    addOldUpstream(rig);
    rig.submit(support::job("long", support::step(1, 1000))); // Keeps renewals going.
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("long.0.0.0") == "u1"; }));
    auto &upstream = rig.upstreams.upstreams["u1"];
    upstream.delaysAnswers = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.delayedAnswers.empty(); }));
    rig.run(milliseconds(200));
    upstream.delaysAnswers = false;
    const std::uint64_t epoch = upstream.epoch;
    rig.upstreams.deliverDelayedAnswers();
    rig.run(milliseconds(100));
    BOOST_TEST(upstream.epoch == epoch);
}

/// Failure: between the announcement of a restart and the next tick of the scheduler, 50 ms, the next incarnation still accepted requests to the earlier one.
BOOST_AUTO_TEST_CASE(anIncarnationThatAnnouncesItselfIsReadAtOnce)
{
    CellRig rig;
    addOldUpstream(rig);
    rig.upstreams.restart("u1");
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::Announce;
    call.announcement = std::make_unique<cell::wire::AnnouncementT>();
    call.announcement->upstream = support::upstream("u1", 8000);
    call.announcement->upstream->born_ms = rig.upstreams.upstreams["u1"].bornMs;
    call.announcement->sequence = 1;
    rig.send(std::move(call));
    BOOST_REQUIRE(rig.upstreams.upstreams["u1"].renewals.size() == 1U);
    BOOST_TEST(!rig.upstreams.upstreams["u1"].renewals.front().deadline.has_value());
}

/// Failure: a leader whose previous batch is still being committed reads the next incarnation before the record of that incarnation is committed, and plans
/// with the description of the earlier one. Then a task starts on an upstream that has no room for it.
BOOST_AUTO_TEST_CASE(nothingIsPlannedWithTheDescriptionOfTheEarlierIncarnation)
{
    CellRig rig;
    addOldUpstream(rig);
    rig.group.stalls = true;
    cell::wire::CallT submit;
    submit.kind = cell::wire::CallKind::Submit;
    submit.host = "host";
    submit.job = support::job("j", support::step(1, 1000));
    submit.path = "/" + submit.job->queue + "/j";
    rig.send(std::move(submit));
    rig.run(milliseconds(50));
    rig.upstreams.restart("u1");
    sendAnnouncement(rig, 500);
    rig.run(milliseconds(50));
    rig.group.resume();
    rig.run(milliseconds(300));
    BOOST_REQUIRE(rig.store.read([](const cell::CellState &state) { return state.jobNamed("j") != nullptr; }));
    BOOST_TEST(rig.upstreams.upstreams["u1"].startRequests == 0);
}

/// Failure: a placement was being committed while its upstream started again, and the start went to the next incarnation, which has no room for it.
BOOST_AUTO_TEST_CASE(aPlacementThatIsCommittedAfterARestartDoesNotStartOnTheNextIncarnation)
{
    CellRig rig;
    BOOST_REQUIRE(rig.submit(support::job("j", support::step(1, 1000))) == base::ResultCode::Ok);
    rig.upstreams.upstreams["u1"].startedAt -= std::chrono::minutes(1);
    rig.announce(*support::upstream("u1", 8000), 1);
    const std::uint64_t proposals = rig.group.proposals;
    rig.group.stalls = true;
    rig.run(milliseconds(100));
    BOOST_REQUIRE(rig.group.proposals > proposals); // The placement.
    rig.upstreams.restart("u1");
    sendAnnouncement(rig, 500);
    rig.run(milliseconds(50));
    rig.group.resume();
    rig.run(milliseconds(300));
    BOOST_TEST(rig.upstreams.upstreams["u1"].startRequests == 0);
}

/// Failure: an upstream started again at another address. Its first read went there, the next ones to the recorded address until the new record was committed;
/// the upstream that listens there refused them, so the present one was removed and its task started elsewhere while it ran.
BOOST_AUTO_TEST_CASE(anIncarnationAtAnotherAddressIsNotRemovedBeforeItsRecordIsCommitted)
{
    CellRig rig;
    addOldUpstream(rig);
    runWithDelayedStart(rig);
    rig.upstreams.restartBeforeDelayedRequests("u1");
    rig.upstreams.upstreams["u1"].address = "10.0.0.99:1";
    rig.upstreams.deliverDelayedStarts("u1");
    BOOST_REQUIRE(rig.upstreams.upstreamOf(Task) == "u1");
    rig.group.stalls = true;
    sendAnnouncement(rig, 8000, "10.0.0.99:1");
    rig.run(milliseconds(100));
    rig.group.resume();
    rig.run(milliseconds(300));
    BOOST_TEST(rig.store.read([](const cell::CellState &state) { return state.upstreamNamed("u1") != nullptr; }));
    BOOST_TEST(rig.upstreams.ranTwice.empty());
}

BOOST_AUTO_TEST_SUITE_END()
