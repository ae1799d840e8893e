#include "cell/ZoneRelays.h"

#include "cell/Codec.h"
#include "cell/RelayCodec.h"
#include "cell/ScriptedUpstreams.h"
#include "support/FakeHub.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <thread>

using namespace cranberryreel;
using cell::UpstreamCallStatus;
using testsupport::FakeHub;

namespace
{

const cell::UpstreamTarget Target{"u1", "127.0.0.1:1"};
constexpr std::chrono::milliseconds Limit{500};

cell::StartRequest startRequest()
{
    cell::StartRequest request;
    request.run = {"j.0.0.0", 3};
    request.payload = "work";
    request.deadline = std::chrono::milliseconds(100000);
    request.epoch = 7;
    request.checkpoint = "half";
    request.ticket = "ticket";
    return request;
}

/// A leader in another zone and a VM in the zone "far" that relays its calls to upstreams.
struct RelayRig {
    support::ScriptedUpstreams remoteUpstreams;
    support::ScriptedUpstreams localUpstreams;
    std::optional<link::CallResult> relayFailure; ///< If set, the result of calls to the relay.
    std::chrono::milliseconds linkDelay{0}; ///< Time that an order takes to its relay.
    FakeHub unused{[](const FakeHub::Seen &, std::size_t) { return link::CallResult(); }};
    cell::ZoneRelays relay{"far-1", unused, remoteUpstreams};
    FakeHub hub{[this](const FakeHub::Seen &seen, std::size_t) { return this->executeRelay(seen); }};
    cell::ZoneRelays leader{"near-1", hub, localUpstreams};

    RelayRig()
    {
        this->leader.setZoneLookup([](const std::string &) { return std::string("far"); });
    }

    link::CallResult executeRelay(const FakeHub::Seen &seen)
    {
        if (this->relayFailure) {
            return *this->relayFailure;
        }
        std::this_thread::sleep_for(this->linkDelay);
        link::CallResult result;
        this->relay.handleRelay(*cell::unpack<cell::wire::Call>(seen.payload)->relay,
                                [&result](const cell::wire::ReplyT &reply) { result.payload = cell::pack<cell::wire::Reply>(reply); });
        return result;
    }

    cell::UpstreamCallResult start(std::chrono::milliseconds limit = Limit)
    {
        cell::UpstreamCallResult result;
        this->leader.start(Target, startRequest(), limit, false, [&result](const cell::UpstreamCallResult &answer) { result = answer; });
        return result;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneRelaysTest)

BOOST_AUTO_TEST_CASE(callsAreRelayedThroughAVmInTheUpstreamsZone)
{
    RelayRig rig;
    rig.leader.recordRelay("far-1", "far", cell::RelayClock::ownReading());
    const cell::UpstreamCallResult result = rig.start();
    BOOST_TEST((result.status == UpstreamCallStatus::Done));
    BOOST_TEST(result.clock.has_value());
    BOOST_TEST(rig.hub.calls().front().toVm == "far-1");
    BOOST_TEST(rig.remoteUpstreams.upstreams["u1"].running.at("j.0.0.0").attempt == 3U);
    BOOST_TEST(rig.remoteUpstreams.upstreams["u1"].running.at("j.0.0.0").checkpoint == "half");
    BOOST_TEST(rig.remoteUpstreams.upstreams["u1"].epoch == 7U);
    BOOST_TEST(rig.localUpstreams.upstreams.empty());
}

BOOST_AUTO_TEST_CASE(withoutARelayTheUpstreamIsCalledDirectly)
{
    RelayRig rig;
    rig.leader.recordRelay("elsewhere-1", "elsewhere", std::nullopt);
    BOOST_TEST((rig.start().status == UpstreamCallStatus::Done));
    BOOST_TEST(rig.hub.calls().empty());
    BOOST_TEST(rig.localUpstreams.upstreams["u1"].running.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aFailedRelayCallLeavesTheOutcomeUnknownUnlessNothingWasSent)
{
    RelayRig rig;
    rig.leader.recordRelay("far-1", "far", cell::RelayClock::ownReading());
    rig.relayFailure = link::CallResult{base::ResultCode::LinkDown, true, {}};
    BOOST_TEST((rig.start().status == UpstreamCallStatus::Unknown));
    rig.relayFailure = link::CallResult{base::ResultCode::LinkDown, false, {}};
    BOOST_TEST((rig.start().status == UpstreamCallStatus::NotSent));
    rig.relayFailure = link::CallResult{base::ResultCode::Ok, true, "no reply at all"};
    BOOST_TEST((rig.start().status == UpstreamCallStatus::Unknown));
}

BOOST_AUTO_TEST_CASE(listsAreRelayedCompletely)
{
    RelayRig rig;
    rig.leader.recordRelay("far-1", "far", cell::RelayClock::ownReading());
    rig.start();
    rig.remoteUpstreams.upstreams["u1"].ended.push_back({4, {"j.0.0.1", 2}, cell::RunEndKind::Broken, "x"});
    cell::RenewRequest renewal;
    renewal.epoch = 7;
    renewal.acknowledged = 3;
    renewal.deadline = std::chrono::milliseconds(200000);
    cell::RenewResult read;
    rig.leader.renew(Target, renewal, Limit, [&read](const cell::RenewResult &result) { read = result; });
    BOOST_TEST((read.callResult.status == UpstreamCallStatus::Done));
    BOOST_TEST(read.bornMs == 1);
    BOOST_REQUIRE(read.running.size() == 1U);
    BOOST_TEST((read.running.front().run.task == "j.0.0.0" && read.running.front().percent == 50));
    BOOST_REQUIRE(read.ended.size() == 1U);
    BOOST_TEST((read.ended.front().number == 4 && read.ended.front().kind == cell::RunEndKind::Broken && read.ended.front().checkpoint == "x"));
    BOOST_TEST((rig.remoteUpstreams.upstreams["u1"].deadline == std::chrono::milliseconds(200000)));
}

/// Failure: a relay that woke after seconds sent the orders that had waited in its link, although their leader had given them up and read the upstream since.
BOOST_AUTO_TEST_CASE(aRelaySendsNoOrderThatItsCallerHasGivenUp)
{
    RelayRig rig;
    rig.leader.recordRelay("far-1", "far", cell::RelayClock::ownReading());
    rig.linkDelay = std::chrono::milliseconds(150);
    BOOST_TEST((rig.start(std::chrono::milliseconds(20)).status == UpstreamCallStatus::NotSent));
    BOOST_TEST(rig.remoteUpstreams.upstreams.empty());
}

/// Failure: the limit of a relayed call counted from its arrival at the relay, so that a call could leave the relay after its caller had given it up.
BOOST_AUTO_TEST_CASE(theTimeOnTheLinkIsPartOfACallsLimit)
{
    RelayRig rig;
    rig.leader.recordRelay("far-1", "far", cell::RelayClock::ownReading());
    rig.linkDelay = std::chrono::milliseconds(260);
    BOOST_TEST((rig.start().status == UpstreamCallStatus::Done));
    BOOST_REQUIRE(rig.remoteUpstreams.upstreams["u1"].startLimits.size() == 1U);
    BOOST_TEST((rig.remoteUpstreams.upstreams["u1"].startLimits.front() <= std::chrono::milliseconds(300)));
}

/// Failure guarded against: one offer that was delayed on its way made the relay refuse all orders until the next one.
BOOST_AUTO_TEST_CASE(aDelayedOfferDoesNotMakeItsRelayRefuseOrders)
{
    RelayRig rig;
    rig.leader.recordRelay("far-1", "far", cell::RelayClock::ownReading());
    rig.leader.recordRelay("far-1", "far", cell::RelayClock::ownReading() - std::chrono::milliseconds(900));
    BOOST_TEST((rig.start().status == UpstreamCallStatus::Done));
}

/// Failure guarded against: orders to a relay whose VM started again, and its clock with it, were bounded by the earlier clock for good.
BOOST_AUTO_TEST_CASE(aRelayWhoseClockBeganAnewIsBoundByItsNewClock)
{
    const base::SteadyTime now = base::steadyNow();
    cell::RelayClock clock;
    BOOST_TEST(!clock.minimum(now));
    clock.record(std::chrono::hours(10), now);
    clock.record(std::chrono::seconds(30), now);
    BOOST_TEST((clock.minimum(now) == std::chrono::seconds(30)));
    BOOST_TEST((clock.minimum(now + std::chrono::seconds(1)) <= std::chrono::seconds(31)));
}

/// Failure guarded against: orders of a leader that does not know its relay's clock yet were refused.
BOOST_AUTO_TEST_CASE(anOrderToARelayOfUnknownClockIsSent)
{
    RelayRig rig;
    rig.leader.recordRelay("far-1", "far", std::nullopt);
    rig.linkDelay = std::chrono::milliseconds(100);
    BOOST_TEST((rig.start(std::chrono::milliseconds(20)).status == UpstreamCallStatus::Done));
}

BOOST_AUTO_TEST_SUITE_END()
