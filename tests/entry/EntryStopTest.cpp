#include "EntryFixture.h"
#include "support/Eventually.h"

#include <boost/test/unit_test.hpp>

#include <future>

using cranberryreel::base::ResultCode;
using cranberryreel::support::eventually;
using Json = nlohmann::json;

namespace
{

cranberryreel::entry::EntryOptions shortGrace()
{
    cranberryreel::entry::EntryOptions options;
    options.stopGrace = std::chrono::milliseconds(100);
    return options;
}

struct StopFixture : EntryFixture {
    StopFixture()
        : EntryFixture(shortGrace())
    {
    }

    std::future<cranberryreel::http::ClientResponse> submitAndHoldReply()
    {
        this->dispatcher->hold(true);
        auto answer = std::async(std::launch::async, [this] { return this->call("POST", "/v1/requests", requestBody().dump()); });
        BOOST_TEST(eventually([this] { return this->dispatcher->heldCount() == 1; }));
        return answer;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryStopTest, StopFixture)

BOOST_AUTO_TEST_CASE(stopReportsNotReadyThenRefusesNewWorkAndFinishesTheRest)
{
    auto answer = this->submitAndHoldReply();
    BOOST_TEST(this->call("GET", "/readyz", "", "").status == 200);
    this->server->beginStop();
    BOOST_TEST(this->call("GET", "/readyz", "", "").status == 503);
    this->dispatcher->hold(false);
    BOOST_TEST(eventually([this] { return codeOf(this->call("POST", "/v1/requests", requestBody().dump())) == static_cast<int>(ResultCode::ShuttingDown); }));
    this->dispatcher->releaseAll();
    BOOST_TEST(answer.get().status == 200);
    BOOST_TEST(this->server->stop(std::chrono::seconds(30)));
}

BOOST_AUTO_TEST_CASE(stopAnswersUnfinishedSubmissionsAsUnknown)
{
    auto answer = this->submitAndHoldReply();
    BOOST_TEST(!this->server->stop(std::chrono::milliseconds(50)));
    const Json status = Json::parse(answer.get().body);
    BOOST_TEST(status["code"] == static_cast<int>(ResultCode::OutcomeUnknown));
    BOOST_TEST(status["state"] == "unknown");
    BOOST_TEST(!status["id"].get<std::string>().empty());
    this->dispatcher->releaseAll();
}

BOOST_AUTO_TEST_CASE(stopAnswersWaitingLookupsWithTheCurrentState)
{
    const Json job = {{"kind", "batch"}, {"name", "sweep"}, {"tasks", 1}, {"cpu_millis", 1}, {"memory_mib", 1}};
    const std::string id = Json::parse(this->call("POST", "/v1/jobs", job.dump()).body)["id"];
    this->dispatcher->hold(true);
    auto answer = std::async(std::launch::async, [this, id] { return this->call("GET", "/v1/submissions/" + id + "?wait_ms=60000"); });
    BOOST_TEST(eventually([this] { return this->dispatcher->heldCount() == 1; }));
    BOOST_TEST(this->server->stop(std::chrono::seconds(30)));
    BOOST_TEST(Json::parse(answer.get().body)["state"] == "accepted");
}

BOOST_AUTO_TEST_CASE(reportsNotReadyBeforeItIsReady)
{
    cranberryreel::entry::EntryOptions options;
    options.ready = [] { return false; };
    EntryFixture starting(options);
    BOOST_TEST(starting.call("GET", "/readyz", "", "").status == 503);
    BOOST_TEST(starting.call("GET", "/healthz", "", "").status == 200);
}

BOOST_AUTO_TEST_CASE(checksNoPartnerKeyOnAnOutdatedConfiguration)
{
    cranberryreel::entry::EntryOptions options;
    options.configurationUsable = [] { return false; };
    EntryFixture starting(options);
    const auto unavailable = static_cast<int>(ResultCode::ConfigurationUnavailable);
    BOOST_TEST(codeOf(starting.call("POST", "/v1/requests", requestBody().dump(), "north-key")) == unavailable);
    BOOST_TEST(codeOf(starting.call("POST", "/v1/requests", requestBody().dump(), "nobody's-key")) == unavailable);
    BOOST_TEST(starting.call("GET", "/v1/ops/zones", "", "root-key").status == 200);
}

BOOST_AUTO_TEST_CASE(requiresTheConfiguredUpstreamKey)
{
    cranberryreel::entry::EntryOptions options;
    options.upstreamKeyHash = cranberryreel::config::keyHash("up-key");
    EntryFixture keyed(options);
    BOOST_TEST(keyed.call("POST", "/v1/upstreams", "{}", "north-key").status == 401);
    BOOST_TEST(codeOf(keyed.call("POST", "/v1/upstreams", "{}", "up-key")) == static_cast<int>(ResultCode::MissingField));
}

BOOST_AUTO_TEST_SUITE_END()
