#include "ServerFixture.h"
#include "support/Eventually.h"
#include "support/RawConnection.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>

using cranberryreel::base::ResultCode;
using cranberryreel::support::eventually;
using cranberryreel::testsupport::RawConnection;
using namespace cranberryreel::http;

namespace
{

constexpr std::chrono::seconds MaxWait{30};

std::string codeText(ResultCode code)
{
    return "\"code\":" + std::to_string(static_cast<int>(code));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerTest, ServerFixture)

BOOST_AUTO_TEST_CASE(deliversOutOfOrderResponsesToTheirCallers)
{
    constexpr std::size_t Calls = 1500;
    ClientOptions options;
    options.connectionsPerHost = Calls;
    Client many(options);
    std::atomic<std::size_t> right{0};
    std::atomic<std::size_t> ended{0};
    for (std::size_t i = 0; i < Calls; ++i) {
        const std::string body = "caller " + std::to_string(i);
        many.call(this->request("/park", body), [&right, &ended, body](const ClientResponse &response) {
            right += response.body == body ? 1 : 0;
            ++ended;
        });
    }
    BOOST_TEST(eventually([this] { return this->heldCount() == Calls; }));
    BOOST_TEST(this->echoes("served meanwhile"));
    this->release();
    BOOST_TEST(eventually([&ended] { return ended == Calls; }));
    BOOST_TEST(right == Calls);
    many.stop();
}

BOOST_AUTO_TEST_CASE(servesOthersWhileASlowPeerReadsALargeResponse)
{
    const RawConnection slow(this->server->port());
    BOOST_REQUIRE(slow.send("GET /big HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
    std::string received = slow.receiveSome(1000, MaxWait);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(this->echoes("echo " + std::to_string(i)));
        received += slow.receiveSome(1000, MaxWait);
    }
    received += slow.receiveAll(MaxWait);
    BOOST_TEST((received.substr(received.find("\r\n\r\n") + 4) == bigBody()));
}

BOOST_AUTO_TEST_CASE(keepsServingAfterPeersDisconnect)
{
    {
        const RawConnection disconnecting(this->server->port());
        BOOST_REQUIRE(disconnecting.send("GET /big HTTP/1.1\r\nHost: x\r\n\r\n"));
        BOOST_REQUIRE(!disconnecting.receiveSome(10, MaxWait).empty());
        const RawConnection heldAndDisconnecting(this->server->port());
        BOOST_REQUIRE(heldAndDisconnecting.send("GET /park HTTP/1.1\r\nHost: x\r\n\r\n"));
        BOOST_TEST(eventually([this] { return this->heldCount() == 1; }));
    }
    this->release();
    BOOST_TEST(eventually([this] { return this->server->inFlight() == 0; }));
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(refusesOversizedBodies)
{
    const auto slightly = this->client.callAndWait(this->request("/echo", std::string((4U << 20U) + 1, 'x')));
    BOOST_TEST(slightly.status == 413);
    BOOST_TEST(slightly.body.find(codeText(ResultCode::BodyTooLarge)) != std::string::npos);
    const RawConnection huge(this->server->port());
    BOOST_REQUIRE(huge.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"));
    BOOST_TEST(huge.receiveAll(MaxWait).find(codeText(ResultCode::BodyTooLarge)) != std::string::npos);
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(closesAfterAnEndlessChunkedBody)
{
    const RawConnection endless(this->server->port());
    BOOST_REQUIRE(endless.send("POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"));
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    std::size_t sent = 0;
    while (sent < 1000 && endless.send(chunk)) {
        ++sent;
    }
    BOOST_TEST(sent < 1000U);
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(answersWithTheCodesOfHandlerErrors)
{
    const auto failed = this->client.callAndWait(this->request("/fail"));
    BOOST_TEST(failed.status == 429);
    BOOST_TEST(failed.body.find(codeText(ResultCode::QueueFull)) != std::string::npos);
    const auto dropped = this->client.callAndWait(this->request("/drop"));
    BOOST_TEST(dropped.body.find(codeText(ResultCode::Internal)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(reportsAPortInUse)
{
    const auto second = ServerBuilder().listen("127.0.0.1", this->server->port()).handler([](const auto &, const auto &) {}).build();
    const auto inUse = [](const cranberryreel::base::Error &error) { return error.code() == ResultCode::PortInUse; };
    BOOST_CHECK_EXCEPTION(second->start(), cranberryreel::base::Error, inUse);
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(stopWaitsForRequestsInFlight)
{
    auto answer = std::async(std::launch::async, [this] { return this->client.callAndWait(this->request("/park", "in flight")); });
    BOOST_TEST(eventually([this] { return this->heldCount() == 1; }));
    auto stopped = std::async(std::launch::async, [this] { return this->server->stop(MaxWait); });
    BOOST_TEST((stopped.wait_for(std::chrono::milliseconds(50)) == std::future_status::timeout));
    this->release();
    BOOST_TEST(stopped.get());
    BOOST_TEST(answer.get().body == "in flight");
}

BOOST_AUTO_TEST_CASE(stopAnswersRemainingRequestsAsUnfinished)
{
    auto answer = std::async(std::launch::async, [this] { return this->client.callAndWait(this->request("/park", "left over")); });
    BOOST_TEST(eventually([this] { return this->heldCount() == 1; }));
    BOOST_TEST(!this->server->stop(std::chrono::milliseconds(20)));
    BOOST_TEST(answer.get().body.find(codeText(ResultCode::ShuttingDown)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(largeResponsesShareABudgetThatASingleOneMayExceed)
{
    const RawConnection slow(this->server->port());
    BOOST_REQUIRE(slow.send("GET /big HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
    std::string received = slow.receiveSome(1000, MaxWait);
    const RawConnection second(this->server->port());
    BOOST_REQUIRE(second.send("GET /big HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
    BOOST_TEST(!second.receiveSome(1000, MaxWait).empty());
    const ClientResponse deferred = this->client.callAndWait(this->request("/big"));
    BOOST_TEST(deferred.status == 503);
    BOOST_TEST(deferred.body.find(codeText(ResultCode::AnswerDeferred)) != std::string::npos);
    received += slow.receiveAll(MaxWait);
    BOOST_TEST(received.size() > BigBytes);
    const auto servedAgain = [this] { return this->client.callAndWait(this->request("/big")).body.size() == BigBytes; };
    BOOST_TEST(eventually(servedAgain));
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

ServerOptions shortLimits()
{
    ServerOptions options;
    options.headerLimit = std::chrono::milliseconds(1000);
    options.bodyLimit = std::chrono::milliseconds(1000);
    options.idleLimit = std::chrono::milliseconds(1500);
    options.writeLimit = std::chrono::milliseconds(1000);
    options.maxConnections = 4;
    return options;
}

struct ShortLimitsFixture : ServerFixture {
    ShortLimitsFixture()
        : ServerFixture(shortLimits())
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerLimitsTest, ShortLimitsFixture)

BOOST_AUTO_TEST_CASE(timesOutIncompleteHeaders)
{
    const RawConnection incomplete(this->server->port());
    BOOST_REQUIRE(incomplete.send("GET /echo HTTP/1.1\r\nHo"));
    BOOST_TEST(incomplete.receiveAll(MaxWait).find(codeText(ResultCode::RequestTimedOut)) != std::string::npos);
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(timesOutIncompleteBodies)
{
    const RawConnection incomplete(this->server->port());
    BOOST_REQUIRE(incomplete.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc"));
    BOOST_TEST(incomplete.receiveAll(MaxWait).find(codeText(ResultCode::RequestTimedOut)) != std::string::npos);
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(timesOutARequestSentByteByByte)
{
    const RawConnection slowSender(this->server->port());
    const std::string text = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n";
    BOOST_REQUIRE(slowSender.send(text));
    std::string answer;
    const bool cut = eventually([&slowSender, &answer] {
        answer += slowSender.receiveSome(1000, std::chrono::milliseconds(20));
        return !answer.empty() || !slowSender.send("x");
    });
    BOOST_TEST(cut);
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(closesIdleConnections)
{
    const RawConnection idle(this->server->port());
    BOOST_REQUIRE(idle.send("GET /echo HTTP/1.1\r\nHost: x\r\n\r\n"));
    BOOST_TEST(idle.receiveAll(MaxWait).find("200 OK") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(closesConnectionsThatReadTooSlowly)
{
    const RawConnection slowReader(this->server->port());
    BOOST_REQUIRE(slowReader.send("GET /big HTTP/1.1\r\nHost: x\r\n\r\n"));
    BOOST_REQUIRE(!slowReader.receiveSome(10, MaxWait).empty());
    BOOST_TEST(eventually([this, &slowReader] {
        slowReader.receiveSome(10, MaxWait);
        return this->server->inFlight() == 0;
    }));
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(refusesConnectionsBeyondTheLimit)
{
    std::vector<std::unique_ptr<RawConnection>> open;
    for (int i = 0; i < 4; ++i) {
        open.push_back(std::make_unique<RawConnection>(this->server->port()));
        BOOST_REQUIRE(open.back()->send("GET /park HTTP/1.1\r\nHost: x\r\n\r\n"));
    }
    BOOST_TEST(eventually([this] { return this->heldCount() == 4; }));
    const RawConnection beyond(this->server->port());
    BOOST_REQUIRE(beyond.send("GET /echo HTTP/1.1\r\nHost: x\r\n\r\n"));
    BOOST_TEST(beyond.receiveAll(MaxWait).find(codeText(ResultCode::TooManyConnections)) != std::string::npos);
    this->release();
    open.clear();
    BOOST_TEST(eventually([this] { return this->echoes("again"); }));
}

BOOST_AUTO_TEST_SUITE_END()
