#include "EntryFixture.h"
#include "observe/Metrics.h"

#include <boost/test/unit_test.hpp>

using cranberryreel::base::ResultCode;
using Json = nlohmann::json;

BOOST_FIXTURE_TEST_SUITE(EntryServerTest, EntryFixture)

BOOST_AUTO_TEST_CASE(answersARequestWithItsStatus)
{
    Json body = requestBody();
    body["payload"] = "hello";
    const auto response = this->call("POST", "/v1/requests", body.dump());
    BOOST_TEST(response.status == 200);
    const Json status = Json::parse(response.body);
    BOOST_TEST(status["state"] == "done");
    BOOST_TEST(status["answer"] == "hello");
    BOOST_TEST(status["partner"] == "north");
    BOOST_TEST(status["id"].get<std::string>().rfind("z1-", 0) == 0);
    BOOST_TEST(status["trace_id"].get<std::string>().size() == 32U);
    BOOST_TEST((this->dispatcher->lastSpec().deadline == std::chrono::milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(acceptsLooksUpAndCancelsAJob)
{
    const Json body = {{"kind", "gang"}, {"name", "sweep"}, {"tasks", 4}, {"cpu_millis", 1000}, {"memory_mib", 512}};
    const auto accepted = this->call("POST", "/v1/jobs", body.dump());
    BOOST_TEST(accepted.status == 202);
    const std::string id = Json::parse(accepted.body)["id"];
    BOOST_TEST(Json::parse(this->call("GET", "/v1/submissions/" + id + "?wait_ms=10").body)["kind"] == "gang");
    BOOST_TEST(Json::parse(this->call("DELETE", "/v1/submissions/" + id).body)["state"] == "not_run");
    BOOST_TEST(this->call("GET", "/v1/submissions/" + id + "/answer").status == 404);
}

BOOST_AUTO_TEST_CASE(servesTheUnmodifiedAnswer)
{
    Json body = requestBody();
    body["payload"] = "a\nb \u00e6";
    const std::string id = Json::parse(this->call("POST", "/v1/requests", body.dump()).body)["id"];
    BOOST_TEST(this->call("GET", "/v1/submissions/" + id + "/answer").body == "a\nb \u00e6");
}

BOOST_AUTO_TEST_CASE(hidesTheWorkOfOtherPartners)
{
    const std::string id = Json::parse(this->call("POST", "/v1/requests", requestBody().dump()).body)["id"];
    for (const char *method : {"GET", "DELETE"}) {
        const auto response = this->call(method, "/v1/submissions/" + id, "", "south-key");
        BOOST_TEST(response.status == 404);
        BOOST_TEST(codeOf(response) == static_cast<int>(ResultCode::NotFound));
    }
    BOOST_TEST(this->call("GET", "/v1/ops/explain/" + id, "", "south-key").status == 404);
    BOOST_TEST(this->call("GET", "/v1/ops/explain/" + id).status == 200);
    BOOST_TEST(this->call("GET", "/v1/submissions/" + id, "", "admin-key").status == 200);
}

BOOST_AUTO_TEST_CASE(keyDeterminesTheHomeZone)
{
    Json body = requestBody();
    body["key"] = "z3:booking-9";
    body["repeatable"] = false;
    BOOST_TEST(Json::parse(this->call("POST", "/v1/requests", body.dump()).body)["id"].get<std::string>().rfind("z3-", 0) == 0);
}

BOOST_AUTO_TEST_CASE(distinguishesWrongKeysPathsAndMethods)
{
    const auto expect = [this](const std::string &method, const std::string &target, const std::string &key, unsigned int status, ResultCode code) {
        const auto response = this->call(method, target, "", key);
        BOOST_TEST(response.status == status, method << ' ' << target);
        BOOST_TEST(codeOf(response) == static_cast<int>(code));
    };
    expect("GET", "/v1/ops/shares", "wrong", 401, ResultCode::Unauthorized);
    expect("GET", "/v1/ops/shares", "", 401, ResultCode::Unauthorized);
    expect("GET", "/v1/ops/upstreams", "north-key", 403, ResultCode::Forbidden);
    expect("GET", "/v1/nothing", "north-key", 404, ResultCode::NotFound);
    expect("GET", "/v1/submissions/z1-00", "north-key", 404, ResultCode::NotFound);
    expect("GET", "/v1/submissions/z1-0123456789abcdef", "north-key", 404, ResultCode::NotFound);
    expect("PUT", "/v1/requests", "north-key", 405, ResultCode::MethodNotAllowed);
    expect("GET", "/v1/submissions/z1-0123456789abcdef?wait_ms=soon", "north-key", 400, ResultCode::FieldWrongType);
    expect("GET", "/v1/submissions/z1-0123456789abcdef?wait_ms=-1", "north-key", 400, ResultCode::FieldOutOfRange);
    BOOST_TEST(this->call("GET", "/v1/ops/upstreams?filter=z1", "", "root-key").body == R"({"what":"upstreams","filter":"z1"})");
    BOOST_TEST(this->call("GET", "/v1/ops/shares").status == 200);
    BOOST_TEST(this->call("GET", "/healthz", "", "").status == 200);
    BOOST_TEST(this->call("GET", "/metrics", "", "").body == "cranberryreel_up 1\n");
}

BOOST_AUTO_TEST_CASE(rejectsInvalidBodiesAndKeepsServing)
{
    const auto expect = [this](const std::string &body, ResultCode code, const std::string &field) {
        const auto response = this->call("POST", "/v1/requests", body);
        BOOST_TEST(codeOf(response) == static_cast<int>(code), body.substr(0, 100) << " gave " << response.body);
        BOOST_TEST(response.body.find(field) != std::string::npos, response.body);
    };
    const auto with = [](const char *field, const Json &value) {
        Json body = requestBody();
        body[field] = value;
        return body.dump();
    };
    expect("{\"name\":", ResultCode::MalformedJson, "byte");
    expect("[]", ResultCode::FieldWrongType, "object");
    expect(with("colour", 1), ResultCode::UnknownField, "colour");
    expect(with("cpu_millis", -1), ResultCode::FieldOutOfRange, "cpu_millis");
    expect(with("memory_mib", 1e30), ResultCode::FieldWrongType, "memory_mib");
    expect(with("memory_mib", std::uint64_t{18'000'000'000'000'000'000U}), ResultCode::FieldOutOfRange, "memory_mib");
    expect(with("accelerators", 1000), ResultCode::FieldOutOfRange, "accelerators");
    expect(with("deadline_ms", 0), ResultCode::FieldOutOfRange, "deadline_ms");
    expect(with("priority", "high"), ResultCode::FieldWrongType, "priority");
    expect(with("repeatable", false), ResultCode::MissingField, "key");
    expect(with("payload", std::string(300'000, 'p')), ResultCode::FieldOutOfRange, "payload");
    expect(with("payload", std::string(5'000'000, 'p')), ResultCode::BodyTooLarge, "bytes");
    expect("{}", ResultCode::MissingField, "name");
    BOOST_TEST(this->call("POST", "/v1/requests", requestBody().dump()).status == 200);
}

BOOST_AUTO_TEST_CASE(passesOnSchedulerRefusals)
{
    this->dispatcher->refuseWith(ResultCode::QueueFull);
    const auto response = this->call("POST", "/v1/requests", requestBody().dump());
    BOOST_TEST(response.status == 429);
    BOOST_TEST(codeOf(response) == static_cast<int>(ResultCode::QueueFull));
}

BOOST_AUTO_TEST_CASE(acceptsAnnouncements)
{
    const Json report = {{"id", "up-1"},
                         {"vm", "vm-a"},
                         {"zone", "z1"},
                         {"boot", "b1"},
                         {"address", "127.0.0.1:9"},
                         {"slots", 8},
                         {"tasks", {{{"task_id", "z1-0123456789abcdef.0"}, {"attempt", 1}, {"state", "done"}, {"answer", "ok"}}}}};
    const Json reply = Json::parse(this->call("POST", "/v1/upstreams", report.dump(), "").body);
    BOOST_TEST(reply["epoch"] == 7);
    BOOST_TEST(reply["next_in_ms"] == 50);
    BOOST_TEST(this->dispatcher->lastReport().tasks.at(0).answer == "ok");
    Json wrong = report;
    wrong["tasks"][0]["state"] = "sleeping";
    const auto response = this->call("POST", "/v1/upstreams", wrong.dump(), "");
    BOOST_TEST(codeOf(response) == static_cast<int>(ResultCode::FieldOutOfRange));
    BOOST_TEST(response.body.find("tasks[0].state") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(letsOperatorsChangeTheConfiguration)
{
    const Json change = {{"id", "c1"}, {"from_revision", 0}, {"text", "[vm a]\n"}};
    BOOST_TEST(this->call("POST", "/v1/config/register", change.dump()).status == 403);
    const auto accepted = this->call("POST", "/v1/config/register", change.dump(), "root-key");
    BOOST_TEST(Json::parse(accepted.body)["revision"] == 1);
    const auto conflict = this->call("POST", "/v1/config/rules", change.dump(), "admin-key");
    BOOST_TEST(conflict.status == 409);
    BOOST_TEST(codeOf(conflict) == static_cast<int>(ResultCode::RevisionConflict));
    BOOST_TEST(Json::parse(this->call("GET", "/v1/config/current", "", "root-key").body)["register"] == "[vm a]\n");
    BOOST_TEST(Json::parse(this->call("GET", "/v1/config/status", "", "root-key").body)["vms"][0]["revision"] == 1);
    BOOST_TEST(this->call("POST", "/v1/ops/drain/vm-a", R"({"draining":true})", "root-key").status == 200);
    BOOST_TEST(this->call("POST", "/v1/ops/drain/vm-b", R"({"draining":true})", "root-key").status == 404);
}

BOOST_AUTO_TEST_CASE(recordsDurationsPerRoute)
{
    this->call("POST", "/v1/requests", requestBody().dump());
    const std::string text = cranberryreel::observe::prometheusText();
    BOOST_TEST(text.find("cranberryreel_entry_request_seconds_count{route=\"POST /v1/requests\"}") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
