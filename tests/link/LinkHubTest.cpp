#include "link/TestHub.h"

#include "support/Eventually.h"

#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>

#include <atomic>

using namespace cranberryreel;
using namespace cranberryreel::link;
using namespace std::chrono_literals;
using support::eventually;

namespace
{

struct Pair {
    std::uint16_t portA = support::freePort();
    std::uint16_t portB = support::freePort();
    TestHub a{"a", portA, {{"b", support::loopback(portB)}}};
    TestHub b{"b", portB, {{"a", support::loopback(portA)}}};

    bool up()
    {
        return eventually([this] { return this->a->isUp("b") && this->b->isUp("a"); });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LinkHubTest)

BOOST_AUTO_TEST_CASE(carriesMessagesAndCallsBothWays)
{
    Pair pair;
    BOOST_TEST_REQUIRE(pair.up());
    BOOST_TEST(pair.a->send("b", Channel::Gossip, "hello"));
    BOOST_TEST(pair.b->send("a", Channel::Gossip, "hello back"));
    BOOST_TEST(eventually([&] { return pair.b.received() == std::vector<std::string>{"a:hello"}; }));
    BOOST_TEST(eventually([&] { return pair.a.received() == std::vector<std::string>{"b:hello back"}; }));
    BOOST_TEST(pair.a.call("b", "one").get().payload == "a>b:one|trace");
    BOOST_TEST(pair.b.call("a", "two").get().payload == "b>a:two|trace");
}

BOOST_AUTO_TEST_CASE(everyCallGetsItsOwnAnswerWhateverTheOrder)
{
    Pair pair;
    BOOST_TEST_REQUIRE(pair.up());
    std::future<CallResult> slow = pair.a.call("b", "hold");
    std::vector<std::future<CallResult>> quick;
    quick.reserve(200);
    for (int i = 0; i < 200; ++i) {
        quick.push_back(pair.a.call("b", std::to_string(i)));
    }
    for (int i = 0; i < 200; ++i) {
        BOOST_TEST(quick.at(i).get().payload == "a>b:" + std::to_string(i) + "|trace");
    }
    std::vector<Responder> held = pair.b.takeHeld();
    BOOST_TEST_REQUIRE(held.size() == 1U);
    held.front()("late");
    BOOST_TEST(slow.get().payload == "late");
}

BOOST_AUTO_TEST_CASE(largePayloadsArriveWholeAndTooLargeOnesAreRefusedUnsent)
{
    Pair pair;
    BOOST_TEST_REQUIRE(pair.up());
    const std::string large(3U << 20U, 'x');
    BOOST_TEST((pair.a.call("b", large).get().payload == "a>b:" + large + "|trace"));
    const CallResult refused = pair.a.call("b", std::string(5U << 20U, 'x')).get();
    BOOST_TEST((refused.code == base::ResultCode::LinkFrameInvalid));
    BOOST_TEST(!refused.sent);
    BOOST_TEST(!pair.a->send("b", Channel::Gossip, std::string(5U << 20U, 'x')));
}

BOOST_AUTO_TEST_CASE(callsToTheOwnVmStayLocal)
{
    Pair pair;
    BOOST_TEST(pair.a.call("a", "self").get().payload == "a>a:self|trace");
    BOOST_TEST(pair.a->send("a", Channel::Gossip, "note"));
    BOOST_TEST(eventually([&] { return pair.a.received() == std::vector<std::string>{"a:note"}; }));
    const CallResult late = pair.a.call("a", "hold", 50ms).get();
    BOOST_TEST((late.code == base::ResultCode::LinkDown));
    BOOST_TEST(late.sent);
}

BOOST_AUTO_TEST_CASE(aCallWithoutALinkIsProvablyUnsent)
{
    TestHub a("a", support::freePort(), {{"b", support::loopback(support::freePort())}});
    const CallResult down = a.call("b", "one").get();
    BOOST_TEST((down.code == base::ResultCode::LinkDown));
    BOOST_TEST(!down.sent);
    BOOST_TEST(!a.call("stranger", "one").get().sent);
    BOOST_TEST(!a->send("b", Channel::Gossip, "one"));
}

BOOST_AUTO_TEST_CASE(aLostLinkEndsItsCallsAsSentAndALateResponderIsHarmless)
{
    const std::uint16_t portA = support::freePort();
    const std::uint16_t portB = support::freePort();
    TestHub a("a", portA, {{"b", support::loopback(portB)}});
    auto b = std::make_unique<TestHub>("b", portB, std::vector<TestHub::Address>{{"a", support::loopback(portA)}});
    BOOST_TEST_REQUIRE(eventually([&] { return a->isUp("b"); }));
    std::future<CallResult> call = a.call("b", "hold");
    std::vector<Responder> held;
    BOOST_TEST_REQUIRE(eventually([&] { return !(held = b->takeHeld()).empty(); }));
    b.reset();
    const CallResult lost = call.get();
    BOOST_TEST((lost.code == base::ResultCode::LinkDown));
    BOOST_TEST(lost.sent);
    held.front()("too late");
    b = std::make_unique<TestHub>("b", portB, std::vector<TestHub::Address>{{"a", support::loopback(portA)}});
    BOOST_TEST(eventually([&] { return a->isUp("b"); }));
    BOOST_TEST(a.call("b", "again").get().payload == "a>b:again|trace");
}

BOOST_AUTO_TEST_CASE(aCallWithoutAReceiverIsAnsweredAtOnce)
{
    Pair pair;
    BOOST_TEST_REQUIRE(pair.up());
    std::promise<CallResult> promise;
    pair.a->call("b", Channel::Config, "?", 10s, "", [&promise](CallResult result) { promise.set_value(std::move(result)); });
    BOOST_TEST((promise.get_future().get().code == base::ResultCode::Internal));
}

BOOST_AUTO_TEST_CASE(bothEndsKeepOneConnectionWhenTheyDialAtOnce)
{
    for (int round = 0; round < 10; ++round) {
        Pair pair;
        BOOST_TEST_REQUIRE(pair.up());
        BOOST_TEST_REQUIRE(eventually([&] { return pair.a.call("b", "x").get().sent && pair.b.call("a", "y").get().sent; }));
    }
}

BOOST_AUTO_TEST_CASE(stoppingEndsEveryCallOnce)
{
    Pair pair;
    BOOST_TEST_REQUIRE(pair.up());
    std::vector<std::future<CallResult>> calls;
    calls.reserve(50);
    for (int i = 0; i < 50; ++i) {
        calls.push_back(pair.a.call("b", "hold"));
    }
    pair.a->stop();
    for (std::future<CallResult> &call : calls) {
        BOOST_TEST((call.get().code == base::ResultCode::LinkDown));
    }
    BOOST_TEST(!pair.a.call("b", "after").get().sent);
    BOOST_TEST(!pair.a.call("a", "after").get().sent);
}

BOOST_AUTO_TEST_CASE(aPortInUseIsReported)
{
    const std::uint16_t port = support::freePort();
    TestHub first("a", port, {});
    const auto isPortInUse = [](const base::Error &error) { return error.code() == base::ResultCode::PortInUse; };
    BOOST_CHECK_EXCEPTION(TestHub("b", port, {}), base::Error, isPortInUse);
}

BOOST_AUTO_TEST_SUITE_END()
