#include "cell/ZoneRelays.h"

#include "cell/Codec.h"
#include "cell/RelayCodec.h"
#include "cell/ScriptedUpstreams.h"
#include "support/FakeHub.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace cranberryreel;
using cell::OrderAnswer;
using testsupport::FakeHub;

namespace
{

const cell::UpstreamTarget Target{"u1", "127.0.0.1:1"};
constexpr std::chrono::milliseconds Limit{500};

cell::RunOrder order()
{
    cell::RunOrder made;
    made.run = {"j.0.0.0", 3};
    made.payload = "work";
    made.deadline = std::chrono::milliseconds(100000);
    made.epoch = 7;
    made.checkpoint = "half";
    made.ticket = "ticket";
    return made;
}

/// A VM in the zone "far" that carries out what it is handed.
struct Relayed {
    support::ScriptedUpstreams there;
    support::ScriptedUpstreams here;
    std::optional<link::CallResult> lost; ///< Set: the call to the relay ends so.
    FakeHub unused{[](const FakeHub::Seen &, std::size_t) { return link::CallResult(); }};
    cell::ZoneRelays relay{"far-1", unused, there};
    FakeHub hub{[this](const FakeHub::Seen &seen, std::size_t) { return this->carry(seen); }};
    cell::ZoneRelays leader{"near-1", hub, here};

    Relayed()
    {
        this->leader.locateBy([](const std::string &) { return std::string("far"); });
    }

    link::CallResult carry(const FakeHub::Seen &seen)
    {
        if (this->lost) {
            return *this->lost;
        }
        link::CallResult result;
        this->relay.carryOut(*cell::unpack<cell::wire::Call>(seen.payload)->relay,
                             [&result](const cell::wire::ReplyT &reply) { result.payload = cell::pack<cell::wire::Reply>(reply); });
        return result;
    }

    cell::OrderResult start()
    {
        cell::OrderResult answered;
        this->leader.start(Target, order(), Limit, false, [&answered](const cell::OrderResult &result) { answered = result; });
        return answered;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneRelaysTest)

BOOST_AUTO_TEST_CASE(callsGoThroughAVmOfTheUpstreamsZone)
{
    Relayed relayed;
    relayed.leader.heard("far-1", "far");
    const cell::OrderResult answered = relayed.start();
    BOOST_TEST((answered.answer == OrderAnswer::Done));
    BOOST_TEST(answered.clock.has_value());
    BOOST_TEST(relayed.hub.calls().front().toVm == "far-1");
    BOOST_TEST(relayed.there.upstreams["u1"].running.at("j.0.0.0").attempt == 3U);
    BOOST_TEST(relayed.there.upstreams["u1"].running.at("j.0.0.0").checkpoint == "half");
    BOOST_TEST(relayed.there.upstreams["u1"].epoch == 7U);
    BOOST_TEST(relayed.here.upstreams.empty());
}

BOOST_AUTO_TEST_CASE(withoutSuchAVmTheCallIsMadeFromHere)
{
    Relayed relayed;
    relayed.leader.heard("elsewhere-1", "elsewhere");
    BOOST_TEST((relayed.start().answer == OrderAnswer::Done));
    BOOST_TEST(relayed.hub.calls().empty());
    BOOST_TEST(relayed.here.upstreams["u1"].running.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aLostRelayLeavesTheOutcomeOpenUnlessNothingWasSent)
{
    Relayed relayed;
    relayed.leader.heard("far-1", "far");
    relayed.lost = link::CallResult{base::ResultCode::LinkDown, true, {}};
    BOOST_TEST((relayed.start().answer == OrderAnswer::Unknown));
    relayed.lost = link::CallResult{base::ResultCode::LinkDown, false, {}};
    BOOST_TEST((relayed.start().answer == OrderAnswer::NotSent));
    relayed.lost = link::CallResult{base::ResultCode::Ok, true, "no reply at all"};
    BOOST_TEST((relayed.start().answer == OrderAnswer::Unknown));
}

BOOST_AUTO_TEST_CASE(listsArriveWhole)
{
    Relayed relayed;
    relayed.leader.heard("far-1", "far");
    relayed.start();
    relayed.there.upstreams["u1"].ended.push_back({4, {"j.0.0.1", 2}, cell::RunEnd::Broken, "x"});
    cell::RenewOrder renewal;
    renewal.epoch = 7;
    renewal.acknowledged = 3;
    renewal.deadline = std::chrono::milliseconds(200000);
    cell::RenewResult read;
    relayed.leader.renew(Target, renewal, Limit, [&read](const cell::RenewResult &result) { read = result; });
    BOOST_TEST((read.result.answer == OrderAnswer::Done));
    BOOST_TEST(read.bornMs == 1);
    BOOST_REQUIRE(read.running.size() == 1U);
    BOOST_TEST((read.running.front().run.task == "j.0.0.0" && read.running.front().percent == 50));
    BOOST_REQUIRE(read.ended.size() == 1U);
    BOOST_TEST((read.ended.front().number == 4 && read.ended.front().how == cell::RunEnd::Broken && read.ended.front().checkpoint == "x"));
    BOOST_TEST((relayed.there.upstreams["u1"].deadline == std::chrono::milliseconds(200000)));
}

BOOST_AUTO_TEST_SUITE_END()
