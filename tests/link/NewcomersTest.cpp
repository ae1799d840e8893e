#include "link/LinkHubBuilder.h"

#include "support/Eventually.h"
#include "support/FreePort.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace cranberryreel;
using namespace cranberryreel::link;
using support::eventually;

namespace
{

std::unique_ptr<LinkHub> hubOf(const std::string &vm, std::uint16_t port, const std::string &key)
{
    LinkHubBuilder builder;
    builder.vm(vm).cluster("test").listen(support::loopback(port)).keys({key, ""}).acceptNewcomers();
    std::unique_ptr<LinkHub> hub = builder.build();
    hub->onCall(Channel::Cell, [vm](const std::string &from, const std::string &payload, const std::string &, const Responder &respond) {
        respond(from + ">" + vm + ":" + payload);
    });
    hub->start();
    return hub;
}

std::string answerOf(LinkHub &hub, const std::string &toVm)
{
    auto promise = std::make_shared<std::promise<CallResult>>();
    hub.call(toVm, Channel::Cell, "hello", std::chrono::seconds(5), "", [promise](CallResult result) { promise->set_value(std::move(result)); });
    return promise->get_future().get().payload;
}

} // namespace

/// Hubs whose settings list only some of the other VMs.
BOOST_AUTO_TEST_SUITE(NewcomersTest)

BOOST_AUTO_TEST_CASE(anUnlistedVmIsAcceptedAndCanBeCalled)
{
    const std::uint16_t seedPort = support::freePort();
    const std::unique_ptr<LinkHub> seed = hubOf("seed", seedPort, "key");
    const std::unique_ptr<LinkHub> newcomer = hubOf("newcomer", support::freePort(), "key");
    newcomer->addPeer("seed", support::loopback(seedPort));
    BOOST_TEST_REQUIRE(eventually([&] { return seed->isUp("newcomer") && newcomer->isUp("seed"); }));
    BOOST_TEST(answerOf(*newcomer, "seed") == "newcomer>seed:hello");
    BOOST_TEST(answerOf(*seed, "newcomer") == "seed>newcomer:hello");
    seed->stop();
    newcomer->stop();
}

BOOST_AUTO_TEST_CASE(aVmWithoutTheKeyIsRefused)
{
    const std::uint16_t seedPort = support::freePort();
    const std::unique_ptr<LinkHub> seed = hubOf("seed", seedPort, "key");
    const std::unique_ptr<LinkHub> stranger = hubOf("stranger", support::freePort(), "another");
    stranger->addPeer("seed", support::loopback(seedPort));
    BOOST_TEST(eventually([&] { return seed->figures().handshakesRefused > 0; }));
    BOOST_TEST(!seed->isUp("stranger"));
    seed->stop();
    stranger->stop();
}

BOOST_AUTO_TEST_CASE(aPeerIsDialedOnlyWhileItIsWanted)
{
    const std::uint16_t port = support::freePort();
    const std::unique_ptr<LinkHub> hub = hubOf("hub", support::freePort(), "key");
    hub->addPeer("peer", support::loopback(port));
    std::unique_ptr<LinkHub> peer = hubOf("peer", port, "key");
    BOOST_TEST_REQUIRE(eventually([&] { return hub->isUp("peer"); }));
    hub->stopDialing("peer");
    BOOST_TEST(answerOf(*hub, "peer") == "hub>peer:hello");
    peer->stop();
    BOOST_TEST_REQUIRE(eventually([&] { return !hub->isUp("peer"); }));
    peer = hubOf("peer", port, "key");
    std::this_thread::sleep_for(3 * LinkTimings().maxRedialPause);
    BOOST_TEST(!hub->isUp("peer"));
    hub->addPeer("peer", support::loopback(port));
    BOOST_TEST(eventually([&] { return hub->isUp("peer"); }));
    hub->stop();
    peer->stop();
}

BOOST_AUTO_TEST_SUITE_END()
