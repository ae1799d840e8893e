#include "ServerFixture.h"
#include "http/ListenSocket.h"
#include "support/Eventually.h"

#include "cranberryreel/base/Clock.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace cranberryreel::http;
using cranberryreel::support::eventually;

namespace
{

/// Answers the first request of each connection, and closes the connection after reading the second.
class BreakingServer
{
public:
    BreakingServer()
        : listening(openListenSocket("127.0.0.1", 0))
        , thread([this] { this->run(); })
    {
    }

    ~BreakingServer()
    {
        this->stopping = true;
        this->thread.join();
        ::close(this->listening.descriptor);
    }

    BreakingServer(const BreakingServer &) = delete;
    BreakingServer &operator=(const BreakingServer &) = delete;

    std::uint16_t port() const
    {
        return this->listening.port;
    }

    int requests() const
    {
        return this->count;
    }

private:
    void run()
    {
        while (!this->stopping) {
            pollfd watched{this->listening.descriptor, POLLIN, 0};
            if (::poll(&watched, 1, 10) > 0) {
                this->serve(::accept4(this->listening.descriptor, nullptr, nullptr, SOCK_CLOEXEC));
            }
        }
    }

    void serve(int connection)
    {
        if (this->readRequest(connection)) {
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            static_cast<void>(::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL));
            this->readRequest(connection);
        }
        ::close(connection);
    }

    /// Returns whether a request was read. Requests are short enough to arrive in one part.
    bool readRequest(int connection)
    {
        char buffer[4096];
        pollfd watched{connection, POLLIN, 0};
        while (!this->stopping) {
            if (::poll(&watched, 1, 10) > 0) {
                const bool any = ::recv(connection, buffer, sizeof(buffer), 0) > 0;
                this->count += any ? 1 : 0;
                return any;
            }
        }
        return false;
    }

    ListenSocket listening;
    std::atomic<bool> stopping{false};
    std::atomic<int> count{0};
    std::thread thread;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClientTest, ServerFixture)

BOOST_AUTO_TEST_CASE(reusesConnectionsUnlessAFreshOneIsRequested)
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

BOOST_AUTO_TEST_CASE(reportsNothingSentOnARefusedConnection)
{
    const ListenSocket closed = openListenSocket("127.0.0.1", 0);
    ::close(closed.descriptor);
    ClientRequest request = this->request("/echo", "body");
    request.host = "127.0.0.1:" + std::to_string(closed.port);
    const ClientResponse response = this->client.callAndWait(std::move(request));
    BOOST_TEST((response.outcome == CallOutcome::Unreachable));
    BOOST_TEST(response.refused);
    BOOST_TEST(!response.sent);
}

/// Failure: without a free descriptor of its own a VM took an upstream that listened for one that nobody listens for, and its runs for ended.
BOOST_AUTO_TEST_CASE(aLackOfDescriptorsIsNoRefusedConnection)
{
    const ListenSocket listening = openListenSocket("127.0.0.1", 0);
    ClientRequest request = this->request("/echo", "body");
    request.host = "127.0.0.1:" + std::to_string(listening.port);
    constexpr rlim_t Limit = 128;
    rlimit before{};
    BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
    const rlimit lowered{Limit, before.rlim_max};
    BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    std::vector<int> taken;
    for (int descriptor = ::dup(listening.descriptor); descriptor >= 0; descriptor = ::dup(listening.descriptor)) {
        taken.push_back(descriptor);
    }
    const ClientResponse response = this->client.callAndWait(std::move(request));
    for (const int descriptor : taken) {
        ::close(descriptor);
    }
    ::setrlimit(RLIMIT_NOFILE, &before);
    ::close(listening.descriptor);
    BOOST_TEST((response.outcome == CallOutcome::Unreachable));
    BOOST_TEST(!response.sent);
    BOOST_TEST(!response.refused);
}

BOOST_AUTO_TEST_CASE(reportsSentAfterATimeout)
{
    ClientRequest request = this->request("/park", "body");
    request.limit = std::chrono::milliseconds(100);
    const ClientResponse response = this->client.callAndWait(std::move(request));
    BOOST_TEST((response.outcome == CallOutcome::TimedOut));
    BOOST_TEST(response.sent);
}

BOOST_AUTO_TEST_CASE(avoidsPooledConnectionsAfterOneStoppedResponding)
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

BOOST_AUTO_TEST_CASE(neverSendsAPostTwice)
{
    const BreakingServer breaking;
    ClientRequest request = this->request("/echo", "body");
    request.host = "127.0.0.1:" + std::to_string(breaking.port());
    BOOST_TEST((this->client.callAndWait(request).outcome == CallOutcome::Answered));
    const ClientResponse second = this->client.callAndWait(request);
    BOOST_TEST((second.outcome == CallOutcome::Unreachable));
    BOOST_TEST(second.sent);
    BOOST_TEST(breaking.requests() == 2);
}

BOOST_AUTO_TEST_CASE(failsOnAResponseBeyondTheLimit)
{
    ClientOptions options;
    options.maxResponseBytes = 1000;
    Client limitedClient(options);
    BOOST_TEST((limitedClient.callAndWait(this->request("/echo", std::string(1001, 'x'))).outcome == CallOutcome::TooLarge));
    BOOST_TEST(limitedClient.callAndWait(this->request("/echo", std::string(1000, 'x'))).body.size() == 1000U);
}

BOOST_AUTO_TEST_CASE(stopEndsEveryCallOnce)
{
    constexpr int Calls = 20;
    std::atomic<int> ended{0};
    Client other;
    for (int i = 0; i < Calls; ++i) {
        other.call(this->request("/park", "body"), [&ended](const ClientResponse &) { ++ended; });
    }
    BOOST_TEST(eventually([this] { return this->heldCount() == Calls; }));
    other.stop();
    BOOST_TEST(ended == Calls);
    const ClientResponse late = other.callAndWait(this->request("/echo", "late"));
    BOOST_TEST((late.outcome == CallOutcome::Stopped));
    BOOST_TEST(!late.sent);
}

BOOST_AUTO_TEST_CASE(waitsForAConnectionWithinTheCallLimit)
{
    ClientOptions options;
    options.connectionsPerHost = 1;
    Client limitedClient(options);
    std::atomic<int> heldEnded{0};
    limitedClient.call(this->request("/park", "first"), [&heldEnded](const ClientResponse &) { ++heldEnded; });
    BOOST_TEST(eventually([this] { return this->heldCount() == 1; }));
    ClientRequest second = this->request("/echo", "second");
    second.limit = std::chrono::milliseconds(100);
    const ClientResponse response = limitedClient.callAndWait(std::move(second));
    BOOST_TEST((response.outcome == CallOutcome::TimedOut));
    BOOST_TEST(!response.sent);
    this->release();
    BOOST_TEST(eventually([&heldEnded] { return heldEnded == 1; }));
}

/// Failure: an order whose call had ended by its limit stayed in the buffers of its closed connection, and reached its server when that could read again.
BOOST_AUTO_TEST_CASE(whatWasNotDeliveredWithinTheLimitIsDiscarded)
{
    const ListenSocket listening = openListenSocket("127.0.0.1", 0);
    const int smallest = 1;
    BOOST_REQUIRE(::setsockopt(listening.descriptor, SOL_SOCKET, SO_RCVBUF, &smallest, sizeof(smallest)) == 0);
    const std::string body(60000, 'x');
    ClientRequest request = this->request("/echo", body);
    request.host = "127.0.0.1:" + std::to_string(listening.port);
    request.limit = std::chrono::milliseconds(200);
    const ClientResponse response = this->client.callAndWait(std::move(request));
    BOOST_TEST((response.outcome == CallOutcome::TimedOut));
    BOOST_TEST(response.sent);
    std::size_t received = 0;
    if (const int connection = ::accept4(listening.descriptor, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK); connection >= 0) {
        char buffer[4096];
        pollfd watched{connection, POLLIN, 0};
        while (::poll(&watched, 1, 1000) > 0) {
            const ssize_t count = ::recv(connection, buffer, sizeof(buffer), 0);
            if (count <= 0) {
                break;
            }
            received += static_cast<std::size_t>(count);
        }
        ::close(connection);
    }
    ::close(listening.descriptor);
    BOOST_TEST(received < body.size());
}

/// Failure: the limit of a call counted from when the client's thread began with it, so a call that waited for a frozen process or a slow callback was sent
/// after its sender had given it up.
BOOST_AUTO_TEST_CASE(aCallThatWaitedForTheClientBeyondItsLimitIsNotSent)
{
    std::promise<void> holding;
    this->client.call(this->request("/echo", "first"), [&holding](const ClientResponse &) {
        holding.set_value();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    });
    holding.get_future().wait();
    ClientRequest second = this->request("/echo", "second");
    second.limit = std::chrono::milliseconds(100);
    const ClientResponse response = this->client.callAndWait(std::move(second));
    BOOST_TEST((response.outcome == CallOutcome::TimedOut));
    BOOST_TEST(!response.sent);
}

/// Failure: the time that a call waited for the client's thread was not taken off its limit.
BOOST_AUTO_TEST_CASE(theTimeThatACallWaitedForTheClientIsPartOfItsLimit)
{
    std::promise<void> holding;
    this->client.call(this->request("/echo", "first"), [&holding](const ClientResponse &) {
        holding.set_value();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    });
    holding.get_future().wait();
    ClientRequest second = this->request("/park", "second");
    second.limit = std::chrono::milliseconds(500);
    const auto begin = cranberryreel::base::steadyNow();
    const ClientResponse response = this->client.callAndWait(std::move(second));
    BOOST_TEST((response.outcome == CallOutcome::TimedOut));
    BOOST_TEST((cranberryreel::base::steadyNow() - begin < std::chrono::milliseconds(700)));
}

BOOST_AUTO_TEST_SUITE_END()
