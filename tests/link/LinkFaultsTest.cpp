#include "link/TestHub.h"

#include "support/Eventually.h"
#include "support/LinkRelay.h"

#include "cranberryreel/base/Clock.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using namespace cranberryreel::link;
using namespace std::chrono_literals;
using support::eventually;

namespace
{

/// Two hubs that are connected through a relay.
struct RelayedPair {
    std::uint16_t portA = support::freePort();
    std::uint16_t portB = support::freePort();
    support::LinkRelay relay;
    std::uint16_t toA = relay.add("b-a", support::loopback(portA));
    std::uint16_t toB = relay.add("a-b", support::loopback(portB));
    TestHub a{"a", portA, {{"b", support::loopback(toB)}}};
    TestHub b{"b", portB, {{"a", support::loopback(toA)}}};

    bool up()
    {
        return eventually([this] { return this->a->isUp("b") && this->b->isUp("a"); });
    }

    bool bothDown()
    {
        return eventually([this] { return !this->a->isUp("b") && !this->b->isUp("a"); });
    }

    bool bothWaysAnswered()
    {
        return eventually(
            [this] { return this->a.call("b", "x", 2s).get().code == base::ResultCode::Ok && this->b.call("a", "y", 2s).get().code == base::ResultCode::Ok; });
    }

    std::uint64_t linksLost()
    {
        return this->a->figures().linksLost + this->b->figures().linksLost;
    }

    template<typename Action>
    void onBothLinks(Action action)
    {
        action("a-b");
        action("b-a");
    }
};

std::chrono::milliseconds since(base::SteadyTime start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(base::steadyNow() - start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LinkFaultsTest)

BOOST_AUTO_TEST_CASE(replacesASilentConnectionByANewOne)
{
    RelayedPair pair;
    BOOST_TEST_REQUIRE(pair.up());
    BOOST_TEST_REQUIRE(pair.bothWaysAnswered());
    const base::SteadyTime start = base::steadyNow();
    pair.onBothLinks([&](const char *name) { pair.relay.blackholeOpen(name); });
    std::future<CallResult> stuck = pair.a.call("b", "into the void", 30s);
    const CallResult lost = stuck.get();
    BOOST_TEST((lost.code == base::ResultCode::LinkDown));
    BOOST_TEST(lost.sent);
    BOOST_TEST(pair.bothWaysAnswered());
    BOOST_TEST_MESSAGE("silent connection replaced after " << since(start).count() << " ms");
    BOOST_TEST(pair.linksLost() >= 2U);
}

BOOST_AUTO_TEST_CASE(oneSilentDirectionIsEnoughToReplaceAConnection)
{
    for (const bool forward : {true, false}) {
        RelayedPair pair;
        BOOST_TEST_REQUIRE(pair.up());
        pair.onBothLinks([&](const char *name) { forward ? pair.relay.cutForward(name) : pair.relay.cutBackward(name); });
        BOOST_TEST(pair.bothDown());
        pair.onBothLinks([&](const char *name) { pair.relay.heal(name); });
        BOOST_TEST(pair.bothWaysAnswered());
    }
}

BOOST_AUTO_TEST_CASE(aCutIsDetectedByBothEndsAndHealed)
{
    RelayedPair pair;
    BOOST_TEST_REQUIRE(pair.up());
    pair.onBothLinks([&](const char *name) { pair.relay.cut(name); });
    BOOST_TEST(pair.bothDown());
    BOOST_TEST(!pair.a.call("b", "unsent").get().sent);
    const base::SteadyTime start = base::steadyNow();
    pair.onBothLinks([&](const char *name) { pair.relay.heal(name); });
    BOOST_TEST(pair.bothWaysAnswered());
    BOOST_TEST_MESSAGE("calls succeed " << since(start).count() << " ms after the heal");
}

BOOST_AUTO_TEST_CASE(anIdleLinkStaysUpOnFewBytes)
{
    RelayedPair pair;
    BOOST_TEST_REQUIRE(pair.up());
    const std::uint64_t before = pair.a->peers().front().bytesOut;
    std::this_thread::sleep_for(3s);
    const std::uint64_t bytes = pair.a->peers().front().bytesOut - before;
    BOOST_TEST_MESSAGE("bytes sent by one end of an idle link in 3 s: " << bytes);
    BOOST_TEST(bytes > 0U);
    BOOST_TEST(bytes < 300U);
    BOOST_TEST(pair.linksLost() == 0U);
    BOOST_TEST(pair.a->peers().front().roundTrip.count() > 0);
}

BOOST_AUTO_TEST_CASE(aPeerThatDoesNotReadDelaysNoOtherPeer)
{
    const std::uint16_t portA = support::freePort();
    const std::uint16_t portB = support::freePort();
    const std::uint16_t portC = support::freePort();
    support::LinkRelay relay;
    const std::uint16_t toB = relay.add("a-b", support::loopback(portB));
    TestHub a("a", portA, {{"b", support::loopback(toB)}, {"c", support::loopback(portC)}});
    TestHub b("b", portB, {});
    TestHub c("c", portC, {{"a", support::loopback(portA)}});
    BOOST_TEST_REQUIRE(eventually([&] { return a->isUp("c"); }));
    const std::string large(1U << 20U, 'x');
    bool refused = false;
    for (int i = 0; i < 64; ++i) {
        refused = !a->send("b", Channel::Gossip, large) || refused;
        BOOST_TEST((a.call("c", "x").get().code == base::ResultCode::Ok));
    }
    BOOST_TEST(refused);
}

BOOST_AUTO_TEST_CASE(aFullQueueRefusesCallsAsUnsent)
{
    RelayedPair pair;
    BOOST_TEST_REQUIRE(pair.up());
    pair.onBothLinks([&](const char *name) { pair.relay.cut(name); });
    const std::string large(1U << 20U, 'x');
    int taken = 0;
    while (pair.a->send("b", Channel::Gossip, large)) {
        BOOST_TEST_REQUIRE(++taken < 64);
    }
    BOOST_TEST(!pair.a.call("b", large).get().sent);
}

BOOST_AUTO_TEST_CASE(callsQueuedBehindAStuckConnectionAreReportedAsUnsent)
{
    RelayedPair pair;
    BOOST_TEST_REQUIRE(pair.up());
    pair.onBothLinks([&](const char *name) { pair.relay.cut(name); });
    const std::string large(1U << 20U, 'x');
    while (pair.a->send("b", Channel::Gossip, large)) { }
    const CallResult result = pair.a.call("b", "tail").get();
    BOOST_TEST((result.code == base::ResultCode::LinkDown));
    BOOST_TEST(!result.sent);
}

BOOST_AUTO_TEST_SUITE_END()
