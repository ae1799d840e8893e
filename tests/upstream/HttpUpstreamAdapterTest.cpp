#include "upstream/HttpUpstreamAdapter.h"
#include "http/ServerBuilder.h"
#include "support/Eventually.h"
#include "support/FakeUpstream.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace std::chrono_literals;
using cranberryreel::base::ResultCode;
using cranberryreel::model::JobState;
using cranberryreel::support::eventually;
using namespace cranberryreel::upstream;

namespace
{

constexpr std::chrono::seconds MaxWait{30};

struct AdapterFixture {
    AdapterFixture()
    {
        this->fake.start();
    }

    static StartRequest startRequest(const std::string &payload, std::uint32_t attempt = 1, std::uint64_t epoch = 5)
    {
        StartRequest start;
        start.taskId = "z1-0123456789abcdef.0";
        start.attempt = attempt;
        start.epoch = epoch;
        start.expiresIn = 10s;
        start.lease = 20s;
        start.waitForEnd = 20s;
        start.partner = "north";
        start.name = "quote";
        start.reserved = {1000, 512, 0};
        start.payload = payload;
        return start;
    }

    TaskAnswer start(const StartRequest &request, std::chrono::milliseconds limit = MaxWait)
    {
        std::promise<TaskAnswer> answer;
        this->adapter.start(this->fake.address(), request, limit, "", [&answer](TaskAnswer given) { answer.set_value(std::move(given)); });
        return answer.get_future().get();
    }

    TaskAnswer query(std::chrono::milliseconds limit = MaxWait)
    {
        std::promise<TaskAnswer> answer;
        this->adapter.queryTask(this->fake.address(), startRequest("").taskId, limit, [&answer](TaskAnswer given) { answer.set_value(std::move(given)); });
        return answer.get_future().get();
    }

    TaskAnswer command(TaskCommand command, std::uint64_t epoch = 5)
    {
        std::promise<TaskAnswer> answer;
        this->adapter.command(
            this->fake.address(), startRequest("").taskId, 1, command, epoch, MaxWait, [&answer](TaskAnswer given) { answer.set_value(std::move(given)); });
        return answer.get_future().get();
    }

    RenewAnswer renew(std::uint64_t epoch, std::chrono::milliseconds lease = 20s, std::vector<cranberryreel::model::TaskAttempt> acknowledged = {})
    {
        std::promise<RenewAnswer> answer;
        this->adapter.renew(
            this->fake.address(), {epoch, lease, true, std::move(acknowledged)}, MaxWait, [&answer](RenewAnswer given) { answer.set_value(std::move(given)); });
        return answer.get_future().get();
    }

    cranberryreel::testsupport::FakeJournal journal{""};
    cranberryreel::http::Client announceClient;
    cranberryreel::testsupport::FakeUpstream fake{{}, journal, announceClient};
    HttpUpstreamAdapter adapter;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpUpstreamAdapterTest, AdapterFixture)

BOOST_AUTO_TEST_CASE(startAnswerContainsTheEndOfTheTask)
{
    const TaskAnswer answer = this->start(startRequest(R"({"run_ms":20,"echo":"x"})"));
    BOOST_TEST((answer.code == ResultCode::Ok));
    BOOST_TEST((answer.report.state == JobState::Done));
    BOOST_TEST(answer.report.answer == "x");
    BOOST_TEST((this->start(startRequest(R"({"fail":true})", 2)).report.state == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(repeatedStartRunsOnce)
{
    StartRequest first = startRequest(R"({"run_ms":60000})");
    first.waitForEnd = 0ms;
    BOOST_TEST((this->start(first).report.state == JobState::Running));
    BOOST_TEST((this->start(first).report.state == JobState::Running));
    BOOST_TEST(this->fake.report().tasks.size() == 1U);
    BOOST_TEST((this->start(startRequest("", 2)).code == ResultCode::UpstreamRefused));
}

BOOST_AUTO_TEST_CASE(upstreamRefusesLowerEpochs)
{
    BOOST_TEST((this->renew(9).code == ResultCode::Ok));
    BOOST_TEST((this->renew(8).code == ResultCode::UpstreamStaleEpoch));
    BOOST_TEST((this->start(startRequest("", 1, 8)).code == ResultCode::UpstreamStaleEpoch));
    BOOST_TEST((this->command(TaskCommand::Stop, 8).code == ResultCode::UpstreamStaleEpoch));
    BOOST_TEST(this->fake.report().tasks.empty());
}

BOOST_AUTO_TEST_CASE(upstreamKeepsEndsUntilAcknowledged)
{
    this->start(startRequest(R"({"run_ms":1,"echo":"kept"})"));
    BOOST_TEST(this->query().report.answer == "kept");
    BOOST_TEST(this->renew(5).report.tasks.size() == 1U);
    BOOST_TEST(this->renew(5, 20s, {{startRequest("").taskId, 1}}).report.tasks.empty());
    BOOST_TEST((this->query().code == ResultCode::NotFound));
}

BOOST_AUTO_TEST_CASE(taskEndsWhenItsLeaseExpires)
{
    StartRequest shortLease = startRequest(R"({"run_ms":60000})");
    shortLease.lease = 100ms;
    BOOST_TEST((this->start(shortLease).report.state == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(commandsAffectTheTask)
{
    StartRequest running = startRequest(R"({"run_ms":60000,"use_memory_mib":4096})");
    running.waitForEnd = 0ms;
    this->start(running);
    BOOST_TEST((this->command(TaskCommand::Checkpoint).code == ResultCode::Ok));
    BOOST_TEST((this->command(TaskCommand::Throttle).code == ResultCode::Ok));
    BOOST_TEST(eventually([this] { return this->renew(5).report.tasks.at(0).usage.memoryMiB == 512; }));
    BOOST_TEST((this->command(TaskCommand::Stop).report.state == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(stopPreventsLateStartsOfItsAttempt)
{
    BOOST_TEST((this->command(TaskCommand::Stop).code == ResultCode::NotFound));
    BOOST_TEST((this->start(startRequest("", 1)).code == ResultCode::UpstreamRefused));
    BOOST_TEST((this->start(startRequest("", 2)).report.state == JobState::Done));
}

BOOST_AUTO_TEST_CASE(lateStopDoesNotAffectALaterAttempt)
{
    StartRequest second = startRequest(R"({"run_ms":60000})", 2);
    second.waitForEnd = 0ms;
    BOOST_TEST((this->start(second).report.state == JobState::Running));
    BOOST_TEST((this->command(TaskCommand::Stop).report.state == JobState::Running));
}

BOOST_AUTO_TEST_CASE(acknowledgedAttemptDoesNotRunAgain)
{
    this->start(startRequest(R"({"run_ms":1})"));
    BOOST_TEST(this->renew(5, 20s, {{startRequest("").taskId, 1}}).report.tasks.empty());
    BOOST_TEST((this->start(startRequest("")).code == ResultCode::UpstreamRefused));
}

BOOST_AUTO_TEST_CASE(upstreamRefusesAStartForAnEarlierBoot)
{
    StartRequest bootSpecific = startRequest("");
    bootSpecific.boot = this->fake.report().boot;
    this->fake.fault({{"restart", true}});
    BOOST_TEST((this->start(bootSpecific).code == ResultCode::UpstreamRefused));
    bootSpecific.boot = this->fake.report().boot;
    BOOST_TEST((this->start(bootSpecific).report.state == JobState::Done));
}

BOOST_AUTO_TEST_CASE(upstreamDropsAnExpiredStart)
{
    this->fake.fault({{"freeze", true}});
    StartRequest late = startRequest("");
    late.expiresIn = 20ms;
    auto answer = std::async(std::launch::async, [this, late] { return this->start(late); });
    BOOST_TEST((answer.wait_for(200ms) == std::future_status::timeout));
    this->fake.fault({{"freeze", false}});
    BOOST_TEST((answer.get().code == ResultCode::UpstreamRefused));
    BOOST_TEST(this->fake.report().tasks.empty());
}

BOOST_AUTO_TEST_CASE(usesNewConnectionsAfterASilentOne)
{
    BOOST_TEST((this->renew(5).code == ResultCode::Ok));
    this->fake.fault({{"silent", true}});
    const TaskAnswer lost = this->start(startRequest(""), 200ms);
    BOOST_TEST((lost.code == ResultCode::UpstreamUnreachable));
    BOOST_TEST(lost.sent);
    BOOST_TEST((this->query().code == ResultCode::NotFound));
    BOOST_TEST((this->renew(5).code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(fullOrLeavingUpstreamRefusesStarts)
{
    this->fake.fault({{"leaving", true}});
    BOOST_TEST((this->start(startRequest("")).code == ResultCode::UpstreamRefused));
    this->fake.fault({{"leaving", false}});
    StartRequest large = startRequest("");
    large.reserved.memoryMiB = 1'000'000;
    BOOST_TEST((this->start(large).code == ResultCode::UpstreamRefused));
    this->fake.fault({{"fail_all", true}});
    BOOST_TEST((this->start(startRequest("")).report.state == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(reportsNothingSentToAnUnreachableUpstream)
{
    const std::string address = this->fake.address();
    this->fake.stop();
    std::promise<TaskAnswer> answer;
    this->adapter.start(address, startRequest(""), MaxWait, "", [&answer](TaskAnswer given) { answer.set_value(std::move(given)); });
    const TaskAnswer given = answer.get_future().get();
    BOOST_TEST((given.code == ResultCode::UpstreamUnreachable));
    BOOST_TEST(!given.sent);
}

BOOST_AUTO_TEST_CASE(reportsInvalidResponsesAsSent)
{
    std::string body;
    unsigned int status = 200;
    const auto invalidServer = cranberryreel::http::ServerBuilder()
                                   .handler([&body, &status](const auto &, const auto &respond) {
                                       respond({status, "text/plain", body, false});
                                   })
                                   .build();
    invalidServer->start();
    const auto startAt = [this, &invalidServer] {
        std::promise<TaskAnswer> answer;
        const std::string address = "127.0.0.1:" + std::to_string(invalidServer->port());
        this->adapter.start(address, startRequest(""), MaxWait, "", [&answer](TaskAnswer given) { answer.set_value(std::move(given)); });
        return answer.get_future().get();
    };
    for (const char *text :
         {"", "nonsense", "{}", R"({"task_id":"other","attempt":1,"state":"done"})", R"({"task_id":"z1-0123456789abcdef.0","attempt":2,"state":"done"})"}) {
        body = text;
        const TaskAnswer answer = startAt();
        BOOST_TEST((answer.code == ResultCode::UpstreamProtocol), text);
        BOOST_TEST(answer.sent);
    }
    status = 500;
    BOOST_TEST((startAt().code == ResultCode::UpstreamProtocol));
    status = 400;
    BOOST_TEST((startAt().code == ResultCode::UpstreamRefused));
}

BOOST_AUTO_TEST_SUITE_END()
