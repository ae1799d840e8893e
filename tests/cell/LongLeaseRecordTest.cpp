#include "cell/CellRig.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using std::chrono::milliseconds;
using support::CellRig;

namespace
{

constexpr milliseconds LongPlatformLease{10000};
constexpr milliseconds GrantedLease{6000};

bool recordsLongLease(const CellRig &rig)
{
    return rig.store.read([](const cell::CellState &state) { return state.upstreamNamed("u1")->long_lease; });
}

bool isDescribed(const CellRig &rig)
{
    return rig.store.read([](const cell::CellState &state) { return state.upstreamNamed("u1")->cpu_millis > 0; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(LongLeaseRecordTest)

/// Failure: the next leader could not know that an upstream that had restarted may hold the platform's longest lease.
BOOST_AUTO_TEST_CASE(theRecordOfARestartTellsOfALongLease)
{
    CellRig rig(LongPlatformLease);
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("j", support::step(1, 1000))); // Keeps renewals going, which show the restart.
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("j.0.0.0") == "u1"; }));
    BOOST_TEST(!recordsLongLease(rig));
    rig.upstreams.restart("u1");
    BOOST_REQUIRE(rig.runUntil([&] { return !isDescribed(rig); }));
    BOOST_TEST(recordsLongLease(rig));
    rig.announce("u1", 1);
    BOOST_TEST(isDescribed(rig));
    BOOST_TEST(recordsLongLease(rig));
    rig.announceDraining("u1", 2);
    BOOST_TEST(recordsLongLease(rig));
    rig.takeOver();
    rig.announce("u1", 1);
    BOOST_TEST(recordsLongLease(rig));
    rig.upstreams.restart("u1");
    rig.announce("u1", 1);
    BOOST_TEST(recordsLongLease(rig));
}

BOOST_AUTO_TEST_CASE(nothingIsRecordedWhereThePlatformAllowsNoLongerLeasesThanTheCellGrants)
{
    CellRig rig(GrantedLease);
    rig.addUpstream("u1", 8000);
    rig.upstreams.restart("u1");
    rig.announce("u1", 1);
    BOOST_TEST(!recordsLongLease(rig));
    const std::uint64_t proposals = rig.group.proposals;
    rig.run(milliseconds(1000));
    BOOST_TEST(rig.group.proposals == proposals);
    BOOST_TEST(!recordsLongLease(rig));
}

/// Announcements that change nothing else are not committed because of the note.
BOOST_AUTO_TEST_CASE(anUnchangedAnnouncementIsNotCommittedWhileALongLeaseIsRecorded)
{
    CellRig rig(LongPlatformLease);
    rig.addUpstream("u1", 8000);
    rig.upstreams.restart("u1");
    rig.announce("u1", 1);
    BOOST_TEST(recordsLongLease(rig));
    const std::uint64_t proposals = rig.group.proposals;
    rig.announce("u1", 2);
    rig.run(milliseconds(1000));
    BOOST_TEST(rig.group.proposals == proposals);
}

/// Failure: a start reached the next incarnation before its record was committed; a leader that took over then did not know of its long lease.
BOOST_AUTO_TEST_CASE(nothingStartsOnARestartedUpstreamBeforeItsLongLeaseIsRecorded)
{
    CellRig rig(LongPlatformLease);
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("long", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("long.0.0.0") == "u1"; }));
    auto &upstream = rig.upstreams.upstreams["u1"];
    upstream.holdsStarts = true;
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return !rig.upstreams.heldStarts.empty(); }));
    rig.group.stalls = true;
    rig.upstreams.restart("u1");
    rig.run(milliseconds(200)); // The leader sees the restart and reads the next incarnation.
    rig.upstreams.answerStarts(cell::UpstreamCallStatus::Unknown);
    rig.run(milliseconds(200));
    BOOST_TEST(upstream.startRequests == 0);
    rig.group.resume();
    rig.announce("u1", 1);
    BOOST_TEST(rig.runUntil([&] { return upstream.startRequests > 0; }, milliseconds(1000)));
    BOOST_TEST(recordsLongLease(rig));
}

/// An upstream that runs nothing is renewed once a second; it is not left out that long after its record.
BOOST_AUTO_TEST_CASE(anIdleUpstreamTakesWorkAsSoonAsItsLongLeaseIsRecorded)
{
    CellRig rig(LongPlatformLease);
    rig.addUpstream("u1", 8000);
    rig.upstreams.restart("u1");
    rig.group.stalls = true;
    cell::wire::CallT call;
    call.kind = cell::wire::CallKind::Announce;
    call.announcement = std::make_unique<cell::wire::AnnouncementT>();
    call.announcement->upstream = support::upstream("u1", 8000);
    call.announcement->upstream->born_ms = rig.upstreams.upstreams["u1"].bornMs;
    call.announcement->sequence = 1;
    rig.send(std::move(call));
    rig.run(milliseconds(200));
    rig.group.resume();
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.startCounts["j.0.0.0"] == 1; }, milliseconds(300)));
}

/// A record that could not be committed is proposed again.
BOOST_AUTO_TEST_CASE(aLongLeaseWhoseRecordWasRefusedIsRecordedLater)
{
    CellRig rig(LongPlatformLease);
    rig.addUpstream("u1", 8000);
    rig.upstreams.restart("u1");
    rig.group.proposalsToRefuse = 1;
    rig.announce("u1", 1);
    BOOST_TEST(!recordsLongLease(rig));
    rig.submit(support::job("j", support::step(1, 1000)));
    rig.run(milliseconds(300));
    BOOST_TEST(rig.upstreams.startCounts["j.0.0.0"] == 0);
    rig.announce("u1", 2);
    BOOST_TEST(recordsLongLease(rig));
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.startCounts["j.0.0.0"] == 1; }, milliseconds(1000)));
}

/// Failure: an upstream was removed and came back under its id. A renewal that was meant for its earlier life had given it the platform's longest lease, which
/// its new record did not tell of, so its task started elsewhere while it still worked there.
BOOST_AUTO_TEST_CASE(anUpstreamThatWasRemovedAndCameBackMayHoldALongLease)
{
    CellRig rig(LongPlatformLease);
    rig.upstreams.leaseMax = LongPlatformLease;
    rig.upstreams.upstreams["u1"].startedAt -= std::chrono::minutes(1);
    rig.addUpstream("u1", 8000);
    rig.submit(support::job("first", support::step(1, 1000))); // Keeps renewals going.
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("first.0.0.0") == "u1"; }));
    auto &upstream = rig.upstreams.upstreams["u1"];
    rig.run(milliseconds(50));
    upstream.renewalsToDrop = 1;
    BOOST_REQUIRE(rig.runUntil([&] { return !upstream.delayedRenewals.empty(); }));
    BOOST_REQUIRE(upstream.delayedRenewals.front().deadline.has_value());
    upstream.reachable = false;
    upstream.unreachableStatus = cell::UpstreamCallStatus::Absent;
    upstream.running.clear();
    rig.leave("u1");
    BOOST_REQUIRE(rig.runUntil([&rig] { return rig.store.read([](const cell::CellState &state) { return state.upstreamNamed("u1") == nullptr; }); }));
    rig.cancel("first");
    rig.upstreams.restartBeforeDelayedRequests("u1");
    rig.upstreams.deliverDelayedRenewals("u1");
    rig.announce("u1", 1);
    rig.submit(support::job("j", support::step(1, 1000)));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("j.0.0.0") == "u1"; }));
    upstream.reachable = false;
    rig.addUpstream("u2", 8000);
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.startCounts["j.0.0.0"] > 1; }, milliseconds(15000)));
    BOOST_TEST(rig.upstreams.ranTwice.empty());
}

/// Failure: the leader that saw the upstream come back had not seen its removal.
BOOST_AUTO_TEST_CASE(theNextLeaderKnowsThatAnUpstreamWasRemoved)
{
    CellRig rig(LongPlatformLease);
    rig.addUpstream("u1", 8000);
    auto &upstream = rig.upstreams.upstreams["u1"];
    upstream.reachable = false;
    upstream.unreachableStatus = cell::UpstreamCallStatus::Absent;
    rig.leave("u1");
    BOOST_REQUIRE(rig.runUntil([&rig] { return rig.store.read([](const cell::CellState &state) { return state.upstreamNamed("u1") == nullptr; }); }));
    rig.takeOver();
    upstream.reachable = true;
    rig.upstreams.restart("u1");
    rig.announce("u1", 1);
    BOOST_TEST(recordsLongLease(rig));
    rig.addUpstream("u2", 8000);
    BOOST_TEST(!rig.store.read([](const cell::CellState &state) { return state.upstreamNamed("u2")->long_lease; }));
}

BOOST_AUTO_TEST_SUITE_END()
