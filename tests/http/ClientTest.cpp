#include "ServerFixture.h"
#include "http/ListenSocket.h"
#include "support/Eventually.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <unistd.h>

using namespace cranberryreel::http;
using cranberryreel::support::eventually;

BOOST_FIXTURE_TEST_SUITE(ClientTest, ServerFixture)

BOOST_AUTO_TEST_CASE(connectionsAreReusedUnlessAFreshOneIsAsked)
{
    const auto connection = [this](bool fresh) {
        ClientRequest request = this->request("/connection");
        request.freshConnection = fresh;
        return this->client.callAndWait(std::move(request)).body;
    };
    BOOST_TEST(connection(false) == "1");
    BOOST_TEST(connection(false) == "1");
    BOOST_TEST(connection(true) == "2");
}

BOOST_AUTO_TEST_CASE(aRefusedConnectionSentNothing)
{
    const ListenSocket closed = openListenSocket("127.0.0.1", 0);
    ::close(closed.descriptor);
    ClientRequest request = this->request("/echo", "body");
    request.host = "127.0.0.1:" + std::to_string(closed.port);
    const ClientResponse response = this->client.callAndWait(std::move(request));
    BOOST_TEST((response.outcome == CallOutcome::Unreachable));
    BOOST_TEST(!response.sent);
}

BOOST_AUTO_TEST_CASE(aSilentServerMayHaveReadTheRequest)
{
    ClientRequest request = this->request("/park", "body");
    request.limit = std::chrono::milliseconds(100);
    const ClientResponse response = this->client.callAndWait(std::move(request));
    BOOST_TEST((response.outcome == CallOutcome::TimedOut));
    BOOST_TEST(response.sent);
}

BOOST_AUTO_TEST_CASE(aHostWhosePooledConnectionWentSilentGetsNewOnes)
{
    BOOST_TEST(this->client.callAndWait(this->request("/connection")).body == "1");
    ClientRequest silent = this->request("/park", "body");
    silent.limit = std::chrono::milliseconds(100);
    const ClientResponse lost = this->client.callAndWait(std::move(silent));
    BOOST_TEST((lost.outcome == CallOutcome::TimedOut));
    const std::string next = this->client.callAndWait(this->request("/connection")).body;
    BOOST_TEST(next != "1");
    BOOST_TEST(this->client.callAndWait(this->request("/connection")).body != next);
}

BOOST_AUTO_TEST_CASE(anAnswerBeyondTheLimitFailsTheCall)
{
    ClientOptions options;
    options.maxAnswerBytes = 1000;
    Client narrow(options);
    BOOST_TEST((narrow.callAndWait(this->request("/echo", std::string(1001, 'x'))).outcome == CallOutcome::TooLarge));
    BOOST_TEST(narrow.callAndWait(this->request("/echo", std::string(1000, 'x'))).body.size() == 1000U);
}

BOOST_AUTO_TEST_CASE(stopEndsEveryCallOnce)
{
    constexpr int Calls = 20;
    std::atomic<int> ended{0};
    Client other;
    for (int i = 0; i < Calls; ++i) {
        other.call(this->request("/park", "body"), [&ended](const ClientResponse &) { ++ended; });
    }
    BOOST_TEST(eventually([this] { return this->parkedCount() == Calls; }));
    other.stop();
    BOOST_TEST(ended == Calls);
    const ClientResponse late = other.callAndWait(this->request("/echo", "late"));
    BOOST_TEST((late.outcome == CallOutcome::Stopped));
    BOOST_TEST(!late.sent);
}

BOOST_AUTO_TEST_CASE(aCallBeyondTheConnectionsPerHostWaitsWithinItsLimit)
{
    ClientOptions options;
    options.connectionsPerHost = 1;
    Client narrow(options);
    std::atomic<int> parkedEnded{0};
    narrow.call(this->request("/park", "first"), [&parkedEnded](const ClientResponse &) { ++parkedEnded; });
    BOOST_TEST(eventually([this] { return this->parkedCount() == 1; }));
    ClientRequest second = this->request("/echo", "second");
    second.limit = std::chrono::milliseconds(100);
    const ClientResponse response = narrow.callAndWait(std::move(second));
    BOOST_TEST((response.outcome == CallOutcome::TimedOut));
    BOOST_TEST(!response.sent);
    this->release();
    BOOST_TEST(eventually([&parkedEnded] { return parkedEnded == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
