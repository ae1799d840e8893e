#include "cell/UpstreamManager.h"

#include "cell/CellRig.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using std::chrono::milliseconds;
using support::CellRig;

namespace
{

/// The longest lease that a platform allowed so far.
constexpr milliseconds LongPlatformLease{10000};
/// By the platform's rules a lasting task counts as lost when it has not run for 6 s and, with the cell undisturbed, for 3 s more.
constexpr milliseconds RestartLimit{9000};

std::unique_ptr<cell::wire::JobSpecT> lastingJob(const std::string &id)
{
    auto lasting = support::step(1, 1000);
    lasting->lasting = true;
    return support::job(id, std::move(lasting));
}

/// A task of a draining upstream whose calls end like this starts again only when the leases, of 400 ms, are over.
void checkThatADrainingUpstreamIsWaitedOut(cell::UpstreamCallStatus answer)
{
    CellRig rig;
    rig.addUpstream("u1", 8000);
    rig.submit(lastingJob("j"));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("j.0.0.0") == "u1"; }));
    rig.addUpstream("u2", 8000);
    rig.announceDraining("u1", 2);
    rig.run(milliseconds(50));
    rig.upstreams.upstreams["u1"].unreachableStatus = answer;
    rig.upstreams.upstreams["u1"].reachable = false;
    rig.run(milliseconds(300));
    BOOST_TEST(rig.upstreams.startCounts["j.0.0.0"] == 1);
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.startCounts["j.0.0.0"] == 2; }));
    BOOST_TEST(rig.upstreams.upstreams["u2"].running.count("j.0.0.0") == 1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamLossTest)

/// Failure: where the platform allows leases of 10 s, a lasting task did not run for 10.5 s after its upstream had vanished, with capacity for it.
BOOST_AUTO_TEST_CASE(aTaskOfAVanishedUpstreamRunsAgainInTimeWhereThePlatformAllowsLongLeases)
{
    CellRig rig(LongPlatformLease);
    rig.addUpstream("u1", 8000);
    rig.submit(lastingJob("j"));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("j.0.0.0") == "u1"; }));
    rig.addUpstream("u2", 8000);
    rig.run(milliseconds(500));
    rig.upstreams.upstreams["u1"].running.clear();
    rig.upstreams.upstreams["u1"].reachable = false;
    BOOST_TEST(rig.runUntil([&] { return rig.upstreams.upstreamOf("j.0.0.0") == "u2"; }, RestartLimit));
}

/// Failure: a cut answered for the addresses of upstreams that drained that nobody listens; their tasks were started again while they ran on.
BOOST_AUTO_TEST_CASE(tasksOfAnUpstreamThatAnnouncedItsEndAreWaitedOutWhereACutRefusesConnections)
{
    checkThatADrainingUpstreamIsWaitedOut(cell::UpstreamCallStatus::Absent);
}

/// An upstream that drains and cannot be reached may run on until its leases are over.
BOOST_AUTO_TEST_CASE(tasksOfAnUpstreamThatAnnouncedItsEndAndIsCutOffAreWaitedOut)
{
    checkThatADrainingUpstreamIsWaitedOut(cell::UpstreamCallStatus::Unknown);
}

/// Failure: a renewal meant for an earlier incarnation gave the next one, whose clock had started anew, a lease of 10 s. When that one was cut off, its tasks
/// ran again elsewhere after 6.3 s, while it still worked on them.
BOOST_AUTO_TEST_CASE(aLeaseThatARenewalOfAnEarlierIncarnationGaveTheNextOneIsWaitedOut)
{
    CellRig rig(LongPlatformLease);
    rig.upstreams.leaseMax = LongPlatformLease;
    auto &upstream = rig.upstreams.upstreams["u1"];
    upstream.startedAt -= std::chrono::minutes(1);
    rig.addUpstream("u1", 8000);
    rig.submit(lastingJob("j"));
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("j.0.0.0") == "u1"; }));
    rig.run(milliseconds(100));
    rig.upstreams.restart("u1");
    BOOST_REQUIRE(rig.runUntil([&] { return upstream.deadline.count() > 0; }));
    rig.announce("u1", 1);
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.upstreamOf("j.0.0.0") == "u1"; }));
    rig.addUpstream("u2", 8000);
    upstream.reachable = false;
    const base::SteadyTime leaseEnd = upstream.startedAt + upstream.deadline;
    BOOST_REQUIRE(rig.runUntil([&] { return rig.upstreams.startCounts["j.0.0.0"] == 3; }, milliseconds(12000)));
    BOOST_TEST((base::steadyNow() > leaseEnd));
}

BOOST_AUTO_TEST_SUITE_END()
