#include "EntryFixture.h"
#include "support/RawConnection.h"
#include "support/Seed.h"

#include <boost/test/unit_test.hpp>

#include <random>

using cranberryreel::testsupport::RawConnection;

namespace
{

constexpr int Connections = 300;
constexpr int MaxChanges = 8;
constexpr std::chrono::milliseconds ReceiveTimeout{1};

/// Returns one of several valid HTTP requests, chosen at random, for damaged() to modify.
std::string validRequest(std::mt19937_64 &random)
{
    const std::string body = R"({"name":"quote","cpu_millis":500,"memory_mib":256,"deadline_ms":2000,"payload":"x"})";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::string samples[] = {
        "POST /v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer north-key\r\n" + length,
        "POST /v1/upstreams HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"id\"\r\n0\r\n\r\n",
        "GET /v1/submissions/z1-0123456789abcdef?wait_ms=10&x=%41%zz HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer north-key\r\n\r\n",
        "DELETE /v1/submissions/z1-0123456789abcdef HTTP/1.0\r\nAuthorization: Bearer north-key\r\n\r\n",
        "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
    };
    return samples[random() % std::size(samples)];
}

std::string damaged(std::string text, std::mt19937_64 &random)
{
    const auto changes = random() % MaxChanges;
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, random() % 20);
            break;
        case 2:
            text.insert(at, random() % 2000, static_cast<char>(random()));
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(WireFuzzTest, EntryFixture)

BOOST_AUTO_TEST_CASE(keepsServingAfterDamagedRequests)
{
    const unsigned long seed = cranberryreel::support::testSeed();
    BOOST_TEST_MESSAGE("seed: " << seed);
    std::mt19937_64 random(seed);
    for (int i = 0; i < Connections; ++i) {
        const RawConnection connection(this->server->port());
        static_cast<void>(connection.send(damaged(validRequest(random), random)));
        connection.receiveSome(1000, ReceiveTimeout);
    }
    BOOST_TEST(this->call("POST", "/v1/requests", requestBody().dump()).status == 200);
    BOOST_TEST(this->server->stop(std::chrono::seconds(30)));
}

BOOST_AUTO_TEST_SUITE_END()
