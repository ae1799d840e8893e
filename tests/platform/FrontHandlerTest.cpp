#include "platform/FrontHandler.h"

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

/// What a caller of an entry VM gets when the scheduler answers so, and what the scheduler was asked last.
struct Front {
    FakeHub hub;
    cell::CellCaller caller{hub, 7000, {"127.0.0.1"}};
    platform::FrontHandler handler{caller, "zone"};

    explicit Front(FakeHub::Script script)
        : hub(std::move(script))
    {
        this->caller.start();
    }

    ~Front()
    {
        this->caller.stop();
    }

    http::Response ask(const std::string &method, const std::string &path, const std::string &body = {})
    {
        auto request = std::make_shared<http::Request>();
        request->method = method;
        request->path = path;
        request->body = body;
        request->headers = {{"Host", "host"}, {platform::FrontHandler::deadlineHeader(), "500"}};
        auto promise = std::make_shared<std::promise<http::Response>>();
        this->handler.handle(request, [promise](http::Response response) { promise->set_value(std::move(response)); });
        return promise->get_future().get();
    }

    cell::wire::CallT asked() const
    {
        return *cell::unpack<cell::wire::Call>(this->hub.calls().back().payload);
    }
};

FakeHub::Script always(ResultCode code)
{
    return [code](const FakeHub::Seen &, std::size_t) { return answered(cell::makeReply(code)); };
}

} // namespace

BOOST_AUTO_TEST_SUITE(FrontHandlerTest)

BOOST_AUTO_TEST_CASE(aJobGoesToTheSchedulerWithItsPlace)
{
    Front front(always(ResultCode::Ok));
    BOOST_TEST(front.ask("POST", JobPath, OneTask).status == 200U);
    const cell::wire::CallT call = front.asked();
    BOOST_TEST((call.kind == cell::wire::CallKind::Submit));
    BOOST_TEST((call.host == "host" && call.path == JobPath && call.zone == "zone"));
    BOOST_TEST(call.job->steps.size() == 1U);
}

BOOST_AUTO_TEST_CASE(refusalsOfJobsHaveTheirStatus)
{
    BOOST_TEST(Front(always(ResultCode::QueueFull)).ask("POST", JobPath, OneTask).status == 429U);
    BOOST_TEST(Front(always(ResultCode::NotFound)).ask("POST", JobPath, OneTask).status == 404U);
    BOOST_TEST(Front(always(ResultCode::ConfigurationUnavailable)).ask("POST", JobPath, OneTask).status == 503U);
    BOOST_TEST(Front(always(ResultCode::NotLeader)).ask("POST", JobPath, OneTask).status == 503U);
    BOOST_TEST(Front(always(ResultCode::Ok)).ask("POST", JobPath, "{").status == 400U);
    const http::Response refused = Front(always(ResultCode::QueueFull)).ask("POST", JobPath, OneTask);
    BOOST_TEST((refused.headers == std::vector<std::pair<std::string, std::string>>{{"Retry-After", "1"}}));
}

/// A refusal promises that the job never runs.
BOOST_AUTO_TEST_CASE(whereATryMayHaveBeenTakenNoRefusalIsSent)
{
    const FakeHub::Script lostThenFull = [](const FakeHub::Seen &, std::size_t number) {
        return number == 1 ? link::CallResult{ResultCode::LinkDown, true, {}} : answered(cell::makeReply(ResultCode::QueueFull));
    };
    BOOST_TEST(Front(lostThenFull).ask("POST", JobPath, OneTask).status == 504U);
    const FakeHub::Script lost = [](const FakeHub::Seen &, std::size_t) { return link::CallResult{ResultCode::LinkDown, true, {}}; };
    BOOST_TEST(Front(lost).ask("POST", JobPath, OneTask).status == 504U);
}

BOOST_AUTO_TEST_CASE(readsAreAnsweredByTheLeaderOrRefused)
{
    cell::wire::ReplyT running = cell::makeReply(ResultCode::Ok);
    running.state = cell::wire::JobState::Running;
    running.pending = 4;
    const FakeHub::Script reply = [&running](const FakeHub::Seen &, std::size_t) { return answered(running); };
    BOOST_TEST(Front(reply).ask("GET", JobPath).body == R"({"State":"running"})");
    BOOST_TEST(Front(reply).ask("GET", "/queue/").body == R"({"Pending":4})");
    BOOST_TEST(Front(always(ResultCode::UpstreamUnknown)).ask("GET", JobPath).status == 410U);
    BOOST_TEST(Front(always(ResultCode::UpstreamUnknown)).ask("DELETE", JobPath).status == 410U);
    BOOST_TEST(Front(always(ResultCode::NotFound)).ask("GET", "/none/").status == 404U);
    BOOST_TEST(Front(always(ResultCode::NotLeader)).ask("GET", JobPath).status == 503U);
    BOOST_TEST(Front(always(ResultCode::Ok)).ask("DELETE", JobPath).status == 200U);
    BOOST_TEST(Front(always(ResultCode::Ok)).ask("PUT", JobPath).status == 405U);
    BOOST_TEST(Front(always(ResultCode::Ok)).ask("POST", "/queue/short", OneTask).status == 404U);
}

BOOST_AUTO_TEST_SUITE_END()
