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

constexpr std::chrono::seconds Patience{30};

std::string codeText(ResultCode code)
{
    return "\"code\":" + std::to_string(static_cast<int>(code));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerTest, ServerFixture)

BOOST_AUTO_TEST_CASE(lateAnswersOutOfOrderReachTheirOwnCallers)
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
    BOOST_TEST(eventually([this] { return this->parkedCount() == Calls; }));
    BOOST_TEST(this->echoes("served meanwhile"));
    this->release();
    BOOST_TEST(eventually([&ended] { return ended == Calls; }));
    BOOST_TEST(right == Calls);
    many.stop();
}

BOOST_AUTO_TEST_CASE(aWholeLargeAnswerReachesASlowReaderWhileOthersAreServed)
{
    const RawConnection slow(this->server->port());
    BOOST_REQUIRE(slow.send("GET /big HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
    std::string received = slow.receiveSome(1000, Patience);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(this->echoes("echo " + std::to_string(i)));
        received += slow.receiveSome(1000, Patience);
    }
    received += slow.receiveAll(Patience);
    BOOST_TEST((received.substr(received.find("\r\n\r\n") + 4) == bigBody()));
}

BOOST_AUTO_TEST_CASE(aGoneReaderHoldsUpNobody)
{
    {
        const RawConnection gone(this->server->port());
        BOOST_REQUIRE(gone.send("GET /big HTTP/1.1\r\nHost: x\r\n\r\n"));
        BOOST_REQUIRE(!gone.receiveSome(10, Patience).empty());
        const RawConnection parkedAndGone(this->server->port());
        BOOST_REQUIRE(parkedAndGone.send("GET /park HTTP/1.1\r\nHost: x\r\n\r\n"));
        BOOST_TEST(eventually([this] { return this->parkedCount() == 1; }));
    }
    this->release();
    BOOST_TEST(eventually([this] { return this->server->inFlight() == 0; }));
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(anOversizedBodyIsRefusedAndTheServerGoesOn)
{
    const auto slightly = this->client.callAndWait(this->request("/echo", std::string((4U << 20U) + 1, 'x')));
    BOOST_TEST(slightly.status == 413);
    BOOST_TEST(slightly.body.find(codeText(ResultCode::BodyTooLarge)) != std::string::npos);
    const RawConnection huge(this->server->port());
    BOOST_REQUIRE(huge.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"));
    BOOST_TEST(huge.receiveAll(Patience).find(codeText(ResultCode::BodyTooLarge)) != std::string::npos);
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(anEndlessChunkedBodyIsCutOff)
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

BOOST_AUTO_TEST_CASE(handlersErrorsKeepTheirCode)
{
    const auto failed = this->client.callAndWait(this->request("/fail"));
    BOOST_TEST(failed.status == 429);
    BOOST_TEST(failed.body.find(codeText(ResultCode::QueueFull)) != std::string::npos);
    const auto dropped = this->client.callAndWait(this->request("/drop"));
    BOOST_TEST(dropped.body.find(codeText(ResultCode::Internal)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(aTakenPortIsToldByItsCode)
{
    const auto second = ServerBuilder().listen("127.0.0.1", this->server->port()).handler([](const auto &, const auto &) {}).build();
    const auto inUse = [](const cranberryreel::base::Error &error) { return error.code() == ResultCode::PortInUse; };
    BOOST_CHECK_EXCEPTION(second->start(), cranberryreel::base::Error, inUse);
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(stopWaitsForRequestsInFlight)
{
    auto answer = std::async(std::launch::async, [this] { return this->client.callAndWait(this->request("/park", "in flight")); });
    BOOST_TEST(eventually([this] { return this->parkedCount() == 1; }));
    auto stopped = std::async(std::launch::async, [this] { return this->server->stop(Patience); });
    BOOST_TEST((stopped.wait_for(std::chrono::milliseconds(50)) == std::future_status::timeout));
    this->release();
    BOOST_TEST(stopped.get());
    BOOST_TEST(answer.get().body == "in flight");
}

BOOST_AUTO_TEST_CASE(stopTellsTheRestThatItIsUnfinished)
{
    auto answer = std::async(std::launch::async, [this] { return this->client.callAndWait(this->request("/park", "left over")); });
    BOOST_TEST(eventually([this] { return this->parkedCount() == 1; }));
    BOOST_TEST(!this->server->stop(std::chrono::milliseconds(20)));
    BOOST_TEST(answer.get().body.find(codeText(ResultCode::ShuttingDown)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(largeAnswersShareABudgetAndOneAloneAlwaysGoes)
{
    const RawConnection slow(this->server->port());
    BOOST_REQUIRE(slow.send("GET /big HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
    std::string received = slow.receiveSome(1000, Patience);
    const RawConnection second(this->server->port());
    BOOST_REQUIRE(second.send("GET /big HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
    BOOST_TEST(!second.receiveSome(1000, Patience).empty());
    const ClientResponse deferred = this->client.callAndWait(this->request("/big"));
    BOOST_TEST(deferred.status == 503);
    BOOST_TEST(deferred.body.find(codeText(ResultCode::AnswerDeferred)) != std::string::npos);
    received += slow.receiveAll(Patience);
    BOOST_TEST(received.size() > BigBytes);
    const auto servedAgain = [this] { return this->client.callAndWait(this->request("/big")).body.size() == BigBytes; };
    BOOST_TEST(eventually(servedAgain));
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

ServerOptions hastyOptions()
{
    ServerOptions options;
    options.headerLimit = std::chrono::milliseconds(1000);
    options.bodyLimit = std::chrono::milliseconds(1000);
    options.idleLimit = std::chrono::milliseconds(1500);
    options.answerLimit = std::chrono::milliseconds(1000);
    options.maxConnections = 4;
    return options;
}

struct HastyFixture : ServerFixture {
    HastyFixture()
        : ServerFixture(hastyOptions())
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerLimitsTest, HastyFixture)

BOOST_AUTO_TEST_CASE(halfSentHeadersAreTimedOut)
{
    const RawConnection half(this->server->port());
    BOOST_REQUIRE(half.send("GET /echo HTTP/1.1\r\nHo"));
    BOOST_TEST(half.receiveAll(Patience).find(codeText(ResultCode::RequestTimedOut)) != std::string::npos);
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(aHalfSentBodyIsTimedOut)
{
    const RawConnection half(this->server->port());
    BOOST_REQUIRE(half.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc"));
    BOOST_TEST(half.receiveAll(Patience).find(codeText(ResultCode::RequestTimedOut)) != std::string::npos);
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(aDrippingRequestIsTimedOutThoughItNeverRests)
{
    const RawConnection drip(this->server->port());
    const std::string text = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n";
    BOOST_REQUIRE(drip.send(text));
    std::string answer;
    const bool cut = eventually([&drip, &answer] {
        answer += drip.receiveSome(1000, std::chrono::milliseconds(20));
        return !answer.empty() || !drip.send("x");
    });
    BOOST_TEST(cut);
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(anIdleConnectionIsClosed)
{
    const RawConnection idle(this->server->port());
    BOOST_REQUIRE(idle.send("GET /echo HTTP/1.1\r\nHost: x\r\n\r\n"));
    BOOST_TEST(idle.receiveAll(Patience).find("200 OK") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(aReaderThatTricklesIsCutOff)
{
    const RawConnection trickling(this->server->port());
    BOOST_REQUIRE(trickling.send("GET /big HTTP/1.1\r\nHost: x\r\n\r\n"));
    BOOST_REQUIRE(!trickling.receiveSome(10, Patience).empty());
    BOOST_TEST(eventually([this, &trickling] {
        trickling.receiveSome(10, Patience);
        return this->server->inFlight() == 0;
    }));
    BOOST_TEST(this->echoes("still here"));
}

BOOST_AUTO_TEST_CASE(connectionsBeyondTheLimitAreTold)
{
    std::vector<std::unique_ptr<RawConnection>> open;
    for (int i = 0; i < 4; ++i) {
        open.push_back(std::make_unique<RawConnection>(this->server->port()));
        BOOST_REQUIRE(open.back()->send("GET /park HTTP/1.1\r\nHost: x\r\n\r\n"));
    }
    BOOST_TEST(eventually([this] { return this->parkedCount() == 4; }));
    const RawConnection beyond(this->server->port());
    BOOST_REQUIRE(beyond.send("GET /echo HTTP/1.1\r\nHost: x\r\n\r\n"));
    BOOST_TEST(beyond.receiveAll(Patience).find(codeText(ResultCode::TooManyConnections)) != std::string::npos);
    this->release();
    open.clear();
    BOOST_TEST(eventually([this] { return this->echoes("again"); }));
}

BOOST_AUTO_TEST_SUITE_END()
