#include "link/TestHub.h"

#include "support/Eventually.h"

#include "link/FrameReader.h"
#include "link/Frames.h"
#include "link/Handshake.h"
#include "link/Socket.h"

#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>

#include <sys/socket.h>

using namespace cranberryreel;
using namespace cranberryreel::link;
using namespace std::chrono_literals;
using support::eventually;

namespace
{

HandshakeContext context(const std::string &vm, const LinkKeys &keys, const std::string &cluster = "test")
{
    return {cluster, vm, keys, [](const std::string &peer) { return peer != "stranger"; }};
}

std::string bodyOf(const std::string &frame)
{
    return frame.substr(FrameReader::HeaderBytes);
}

/// Runs the handshake between both ends; throws the error of the end that refuses.
void runHandshake(Handshake &dialer, Handshake &acceptor)
{
    std::optional<std::string> frame = dialer.firstFrame();
    for (Handshake *next = &acceptor; frame; next = next == &acceptor ? &dialer : &acceptor) {
        frame = next->receive(bodyOf(*frame));
    }
}

bool isRefusal(const base::Error &error)
{
    return error.code() == base::ResultCode::LinkHandshakeRefused;
}

/// A TCP connection that sends raw bytes to a hub.
struct RawPeer {
    explicit RawPeer(std::uint16_t port)
        : socket(Socket::connect({"127.0.0.1", port}))
    {
    }

    bool sendAll(const std::string &bytes)
    {
        return eventually([&] { return ::send(this->socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0; });
    }

    bool closedByHub()
    {
        return eventually([this] {
            char byte = 0;
            const ssize_t count = ::recv(this->socket.descriptor(), &byte, 1, 0);
            return count == 0 || (count < 0 && errno == ECONNRESET);
        });
    }

    Socket socket;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HandshakeTest)

BOOST_AUTO_TEST_CASE(endsWithASharedKeyAuthenticateEachOther)
{
    const std::vector<std::pair<LinkKeys, LinkKeys>> rotation{
        {{"old", ""}, {"old", ""}},
        {{"old", "new"}, {"old", ""}},
        {{"old", "new"}, {"new", "old"}},
        {{"new", ""}, {"new", "old"}},
        {{"new", ""}, {"old", "new"}},
    };
    for (const auto &[dialerKeys, acceptorKeys] : rotation) {
        const auto dialer = dialerHandshake(context("a", dialerKeys), "b");
        const auto acceptor = acceptorHandshake(context("b", acceptorKeys));
        runHandshake(*dialer, *acceptor);
        BOOST_TEST((dialer->complete() && acceptor->complete()));
        BOOST_TEST(dialer->provedKey() == acceptor->provedKey());
        BOOST_TEST(acceptor->peerVm() == "a");
    }
}

BOOST_AUTO_TEST_CASE(strangersAreRefused)
{
    const auto refused = [](HandshakeContext dialerContext, const std::string &toVm) {
        const auto dialer = dialerHandshake(std::move(dialerContext), toVm);
        const auto acceptor = acceptorHandshake(context("b", {"key", ""}));
        BOOST_CHECK_EXCEPTION(runHandshake(*dialer, *acceptor), base::Error, isRefusal);
        BOOST_TEST(!acceptor->complete());
    };
    refused(context("a", {"other key", ""}), "b");
    refused(context("a", {"key", ""}, "other cluster"), "b");
    refused(context("a", {"key", ""}), "c");
    refused(context("stranger", {"key", ""}), "b");
    refused(context("b", {"key", ""}), "b");
}

BOOST_AUTO_TEST_CASE(anAcceptorThatEchoesTheDialersProofIsRefused)
{
    const auto dialer = dialerHandshake(context("a", {"key", ""}), "b");
    const auto acceptor = acceptorHandshake(context("b", {"key", ""}));
    const std::optional<std::string> challenge = acceptor->receive(bodyOf(dialer->firstFrame()));
    const std::optional<std::string> proof = dialer->receive(bodyOf(*challenge));
    const std::string proofBody = bodyOf(*proof);
    const std::string mac = readBytes(parseFrame(proofBody).body_as_Proof()->macs()->Get(0)->bytes());
    wire::WelcomeT welcome;
    welcome.mac.assign(mac.begin(), mac.end());
    wire::BodyUnion body;
    body.Set(std::move(welcome));
    BOOST_CHECK_EXCEPTION(dialer->receive(bodyOf(bodyFrame(body))), base::Error, isRefusal);
}

BOOST_AUTO_TEST_CASE(aReplayedProofIsRefused)
{
    const auto dialer = dialerHandshake(context("a", {"key", ""}), "b");
    const auto acceptor = acceptorHandshake(context("b", {"key", ""}));
    const std::string hello = dialer->firstFrame();
    const std::optional<std::string> proof = dialer->receive(bodyOf(*acceptor->receive(bodyOf(hello))));
    const auto later = acceptorHandshake(context("b", {"key", ""}));
    later->receive(bodyOf(hello));
    BOOST_CHECK_EXCEPTION(later->receive(bodyOf(*proof)), base::Error, isRefusal);
}

BOOST_AUTO_TEST_CASE(anotherProtocolVersionIsReported)
{
    wire::HelloT hello;
    hello.version = 99;
    wire::BodyUnion body;
    body.Set(std::move(hello));
    const auto isVersionMismatch = [](const base::Error &error) { return error.code() == base::ResultCode::LinkVersionMismatch; };
    BOOST_CHECK_EXCEPTION(acceptorHandshake(context("b", {"key", ""}))->receive(bodyOf(bodyFrame(body))), base::Error, isVersionMismatch);
}

BOOST_AUTO_TEST_CASE(aHubCountsRefusalsAndClosesSilentConnections)
{
    const std::uint16_t port = support::freePort();
    TestHub hub("b", port, {{"a", support::loopback(support::freePort())}}, {"key", ""});
    TestHub impostor("a", support::freePort(), {{"b", support::loopback(port)}}, {"wrong", ""});
    BOOST_TEST(eventually([&] { return hub->figures().handshakesRefused > 0; }));
    BOOST_TEST(!hub->isUp("a"));
    RawPeer silent(port);
    BOOST_TEST(silent.closedByHub());
    RawPeer claimsTooMuch(port);
    BOOST_TEST(claimsTooMuch.sendAll(std::string(16, '\xff')));
    BOOST_TEST(claimsTooMuch.closedByHub());
}

BOOST_AUTO_TEST_CASE(aFloodOfHalfOpenConnectionsDoesNotKeepPeersOut)
{
    const std::uint16_t portA = support::freePort();
    const std::uint16_t portB = support::freePort();
    TestHub hub("b", portB, {{"a", support::loopback(portA)}});
    std::vector<std::unique_ptr<RawPeer>> flood;
    flood.reserve(200);
    for (int i = 0; i < 200; ++i) {
        flood.push_back(std::make_unique<RawPeer>(portB));
    }
    TestHub peer("a", portA, {{"b", support::loopback(portB)}});
    BOOST_TEST(eventually([&] { return peer->isUp("b"); }));
}

BOOST_AUTO_TEST_CASE(keysRotateWithoutALostLink)
{
    const std::uint16_t portA = support::freePort();
    const std::uint16_t portB = support::freePort();
    TestHub a("a", portA, {{"b", support::loopback(portB)}}, {"old", ""});
    TestHub b("b", portB, {{"a", support::loopback(portA)}}, {"old", ""});
    BOOST_TEST_REQUIRE(eventually([&] { return a->isUp("b") && b->isUp("a"); }));
    a->setKeys({"old", "new"});
    b->setKeys({"old", "new"});
    a->setKeys({"new", "old"});
    b->setKeys({"new", "old"});
    BOOST_TEST((a.call("b", "x").get().code == base::ResultCode::Ok));
    BOOST_TEST(a->figures().linksLost + b->figures().linksLost == 0U);
    a->setKeys({"new", ""});
    b->setKeys({"new", ""});
    BOOST_TEST(eventually([&] { return a.call("b", "x").get().code == base::ResultCode::Ok && a->figures().linksLost > 0; }));
    b->setKeys({"third", ""});
    BOOST_TEST(eventually([&] { return !a->isUp("b") && a->figures().handshakesRefused + b->figures().handshakesRefused > 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
