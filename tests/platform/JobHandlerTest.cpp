#include "platform/JobHandler.h"

#include "cell/Codec.h"
#include "cell/PeerCallHandler.h"
#include "support/FakeHub.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <memory>
#include <optional>

using namespace cranberryreel;
using base::ResultCode;
using testsupport::FakeHub;

namespace
{

const std::string JobPath = "/queue/0123456789abcdef";
constexpr const char *OneTask = R"({"Spec":"work","Steps":[{"Count":1,"Cpu":100}]})";

link::CallResult answered(const cell::wire::ReplyT &reply)
{
    return {ResultCode::Ok, true, cell::pack<cell::wire::Reply>(reply)};
}

/// Runs a JobHandler against a scripted scheduler, and shows the handler's response and the last call that reached the scheduler.
struct HandlerFixture {
    FakeHub hub;
    cell::CellCaller caller{hub, 7000, {"127.0.0.1"}};
    platform::JobHandler handler{caller, "zone"};

    explicit HandlerFixture(FakeHub::Script script)
        : hub(std::move(script))
    {
        this->caller.start();
    }

    ~HandlerFixture()
    {
        this->caller.stop();
    }

    http::Response send(const std::string &method, const std::string &path, const std::string &body = {})
    {
        auto request = std::make_shared<http::Request>();
        request->method = method;
        request->path = path;
        request->body = body;
        request->headers = {{"Host", "host"}, {platform::JobHandler::deadlineHeader(), "500"}, {"X-Api-Key", "secret"}};
        auto promise = std::make_shared<std::promise<http::Response>>();
        this->handler.handle(request, [promise](http::Response response) { promise->set_value(std::move(response)); });
        return promise->get_future().get();
    }

    cell::wire::CallT lastCall() const
    {
        return *cell::unpack<cell::wire::Call>(this->hub.calls().back().payload);
    }
};

FakeHub::Script replyAlways(ResultCode code)
{
    return [code](const FakeHub::Seen &, std::size_t) { return answered(cell::makeReply(code)); };
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobHandlerTest)

BOOST_AUTO_TEST_CASE(submitCallCarriesHostPathAndZone)
{
    HandlerFixture fixture(replyAlways(ResultCode::Ok));
    BOOST_TEST(fixture.send("POST", JobPath, OneTask).status == 200U);
    const cell::wire::CallT call = fixture.lastCall();
    BOOST_TEST((call.kind == cell::wire::CallKind::Submit));
    BOOST_TEST((call.host == "host" && call.path == JobPath && call.zone == "zone"));
    BOOST_TEST(call.job->steps.size() == 1U);
}

BOOST_AUTO_TEST_CASE(mapsSubmitRefusalsToHttpStatuses)
{
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::QueueFull)).send("POST", JobPath, OneTask).status == 429U);
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::NotFound)).send("POST", JobPath, OneTask).status == 404U);
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::ConfigurationUnavailable)).send("POST", JobPath, OneTask).status == 503U);
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::NotLeader)).send("POST", JobPath, OneTask).status == 503U);
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::Ok)).send("POST", JobPath, "{").status == 400U);
    const http::Response refused = HandlerFixture(replyAlways(ResultCode::QueueFull)).send("POST", JobPath, OneTask);
    BOOST_TEST((refused.headers == std::vector<std::pair<std::string, std::string>>{{"Retry-After", "1"}}));
}

BOOST_AUTO_TEST_CASE(everyCallCarriesTheKey)
{
    HandlerFixture fixture(replyAlways(ResultCode::Ok));
    for (const char *method : {"POST", "GET", "DELETE"}) {
        fixture.send(method, JobPath, OneTask);
        BOOST_TEST(fixture.lastCall().key == "secret", method);
    }
    fixture.send("GET", "/queue/");
    BOOST_TEST(fixture.lastCall().key == "secret");
}

BOOST_AUTO_TEST_CASE(mapsRejectionsOfTeamsToHttpStatuses)
{
    for (const char *method : {"POST", "GET", "DELETE"}) {
        BOOST_TEST(HandlerFixture(replyAlways(ResultCode::Unauthorized)).send(method, JobPath, OneTask).status == 401U, method);
        const http::Response forbidden = HandlerFixture(replyAlways(ResultCode::Forbidden)).send(method, JobPath, OneTask);
        BOOST_TEST(forbidden.status == 403U, method);
        BOOST_TEST((forbidden.body.find("\"Code\":2010") != std::string::npos), method);
    }
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::Unauthorized)).send("GET", "/queue/").status == 401U);
    const http::Response tooLarge = HandlerFixture(replyAlways(ResultCode::QuotaExceeded)).send("POST", JobPath, OneTask);
    BOOST_TEST(tooLarge.status == 429U);
    BOOST_TEST(tooLarge.headers.empty()); // A repetition is rejected as well.
}

/// Load: jobs that would end too late. Failures: the caller was not told when to return, or was told that a job never runs which an earlier attempt may have
/// submitted.
BOOST_AUTO_TEST_CASE(aRejectedJobIsAnsweredWithItsRetryTime)
{
    cell::wire::ReplyT reply = cell::makeReply(ResultCode::DeadlineUnreachable);
    reply.retry_after_ms = 2001;
    const FakeHub::Script reject = [&reply](const FakeHub::Seen &, std::size_t) { return answered(reply); };
    const http::Response rejected = HandlerFixture(reject).send("POST", JobPath, OneTask);
    BOOST_TEST(rejected.status == 429U);
    BOOST_TEST((rejected.headers == std::vector<std::pair<std::string, std::string>>{{"Retry-After", "3"}}));
    BOOST_TEST(rejected.body.find("3002") != std::string::npos);
    const FakeHub::Script lostThenRejected = [&reply](const FakeHub::Seen &, std::size_t number) {
        return number == 1 ? link::CallResult{ResultCode::LinkDown, true, {}} : answered(reply);
    };
    BOOST_TEST(HandlerFixture(lostThenRejected).send("POST", JobPath, OneTask).status == 504U);
}

/// A job that was cancelled before it arrived is never accepted, whatever became of an earlier attempt.
BOOST_AUTO_TEST_CASE(aSubmissionAfterItsCancelIsAnsweredGone)
{
    const FakeHub::Script lostThenCancelled = [](const FakeHub::Seen &, std::size_t number) {
        return number == 1 ? link::CallResult{ResultCode::LinkDown, true, {}} : answered(cell::makeReply(ResultCode::CancelledBeforeStart));
    };
    BOOST_TEST(HandlerFixture(lostThenCancelled).send("POST", JobPath, OneTask).status == 410U);
}

/// A refusal guarantees that the job never runs, so it is not allowed after an attempt whose outcome is unknown.
BOOST_AUTO_TEST_CASE(reportsUnknownOutcomeAfterALostAttempt)
{
    const FakeHub::Script lostThenFull = [](const FakeHub::Seen &, std::size_t number) {
        return number == 1 ? link::CallResult{ResultCode::LinkDown, true, {}} : answered(cell::makeReply(ResultCode::QueueFull));
    };
    BOOST_TEST(HandlerFixture(lostThenFull).send("POST", JobPath, OneTask).status == 504U);
    const FakeHub::Script lost = [](const FakeHub::Seen &, std::size_t) { return link::CallResult{ResultCode::LinkDown, true, {}}; };
    BOOST_TEST(HandlerFixture(lost).send("POST", JobPath, OneTask).status == 504U);
}

BOOST_AUTO_TEST_CASE(mapsQueryRepliesToHttpStatuses)
{
    cell::wire::ReplyT running = cell::makeReply(ResultCode::Ok);
    running.state = cell::wire::JobState::Running;
    running.pending = 4;
    const FakeHub::Script reply = [&running](const FakeHub::Seen &, std::size_t) { return answered(running); };
    BOOST_TEST(HandlerFixture(reply).send("GET", JobPath).body == R"({"State":"running"})");
    BOOST_TEST(HandlerFixture(reply).send("GET", "/queue/").body == R"({"Pending":4})");
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::UpstreamUnknown)).send("GET", JobPath).status == 410U);
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::UpstreamUnknown)).send("DELETE", JobPath).status == 410U);
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::NotFound)).send("GET", "/none/").status == 404U);
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::NotLeader)).send("GET", JobPath).status == 503U);
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::Ok)).send("DELETE", JobPath).status == 200U);
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::Ok)).send("PUT", JobPath).status == 405U);
    BOOST_TEST(HandlerFixture(replyAlways(ResultCode::Ok)).send("POST", "/queue/short", OneTask).status == 404U);
}

BOOST_AUTO_TEST_SUITE_END()
