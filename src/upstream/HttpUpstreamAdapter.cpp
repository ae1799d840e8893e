#include "upstream/HttpUpstreamAdapter.h"

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/base/Error.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "upstream/ReportCodec.h"
#include "upstream/WireNames.h"

namespace cranberryreel::upstream
{

namespace
{

using base::ResultCode;

constexpr long HttpOk = 200;
constexpr long HttpNotFound = 404;
constexpr long HttpRequestTimedOut = 408;
constexpr long HttpConflict = 409;
constexpr long FirstClientError = 400;
constexpr long FirstServerError = 500;
constexpr std::int64_t MostCode = 9999;

constexpr const char *CommandPaths[] = {"stop", "throttle", "checkpoint"};

const observe::Log &log()
{
    static const observe::Log instance("upstream");
    return instance;
}

/// The figures of one sort of call.
struct CallFigures {
    explicit CallFigures(const std::string &call)
        : durations(observe::durations("cranberryreel_upstream_call_seconds", "From a call to an upstream to its answer.", "call=\"" + call + '"'))
        , failures(observe::counter("cranberryreel_upstream_calls_failed_total", "Calls to upstreams without a whole answer.", "call=\"" + call + '"'))
    {
    }

    /// The callback, after recording the call that begins now.
    http::ClientDone recording(http::ClientDone done)
    {
        return [this, begin = base::steadyNow(), done = std::move(done)](http::ClientResponse response) {
            this->durations.record(base::steadyNow() - begin);
            if (response.outcome != http::CallOutcome::Answered) {
                this->failures.add();
            }
            done(std::move(response));
        };
    }

    observe::DurationHistogram &durations;
    observe::Counter &failures;
};

ResultCode refusalCode(const std::string &body)
{
    try {
        const nlohmann::json json = http::parseJson(body);
        const auto code = static_cast<ResultCode>(http::JsonReader(json).integer("code", 0, MostCode));
        return code == ResultCode::UpstreamStaleEpoch ? code : ResultCode::UpstreamRefused;
    } catch (const base::Error &) {
        return ResultCode::UpstreamRefused;
    }
}

/// Ok for an answer whose body is to be read.
ResultCode codeOf(const http::ClientResponse &response)
{
    if (response.outcome == http::CallOutcome::TooLarge) {
        return ResultCode::UpstreamProtocol;
    }
    if (response.outcome != http::CallOutcome::Answered) {
        return ResultCode::UpstreamUnreachable;
    }
    if (response.status == HttpOk) {
        return ResultCode::Ok;
    }
    if (response.status == HttpConflict) {
        return refusalCode(response.body);
    }
    if (response.status == HttpNotFound) {
        return ResultCode::NotFound;
    }
    if (response.status == HttpRequestTimedOut || response.status < FirstClientError || response.status >= FirstServerError) {
        return ResultCode::UpstreamProtocol;
    }
    return ResultCode::UpstreamRefused;
}

TaskAnswer taskAnswerOf(const std::string &address, const std::string &taskId, const http::ClientResponse &response)
{
    TaskAnswer answer;
    answer.code = codeOf(response);
    answer.sent = response.sent;
    if (answer.code != ResultCode::Ok) {
        return answer;
    }
    try {
        const nlohmann::json json = http::parseJson(response.body);
        answer.report = taskReportFrom(http::JsonReader(json), Strictness::Lenient);
        if (answer.report.taskId != taskId) {
            throw base::Error(ResultCode::UpstreamProtocol, "it names another task");
        }
    } catch (const base::Error &error) {
        log().warn("The answer of {} on task {} is not understood: {}.", address, taskId, error.what());
        answer.code = ResultCode::UpstreamProtocol;
        answer.report = {};
    }
    return answer;
}

TaskAnswer startAnswerOf(const std::string &address, const std::string &taskId, std::uint32_t attempt, const http::ClientResponse &response)
{
    TaskAnswer answer = taskAnswerOf(address, taskId, response);
    if (answer.code == ResultCode::NotFound) {
        answer.code = ResultCode::UpstreamRefused;
    }
    if (answer.code == ResultCode::Ok && answer.report.attempt != attempt) {
        log().warn("{} answered the start of task {} with another attempt.", address, taskId);
        answer.code = ResultCode::UpstreamProtocol;
    }
    return answer;
}

http::ClientDone taskAnswered(const std::string &address, const std::string &taskId, TaskDone done)
{
    return [address, taskId, done = std::move(done)](const http::ClientResponse &response) { done(taskAnswerOf(address, taskId, response)); };
}

RenewAnswer renewAnswerOf(const std::string &address, const http::ClientResponse &response)
{
    RenewAnswer answer;
    answer.code = codeOf(response);
    if (answer.code != ResultCode::Ok) {
        return answer;
    }
    try {
        const nlohmann::json json = http::parseJson(response.body);
        answer.report = upstreamReportFrom(http::JsonReader(json), Strictness::Lenient);
        if (answer.report.address.empty()) {
            answer.report.address = address;
        }
    } catch (const base::Error &error) {
        log().warn("The report of {} is not understood: {}.", address, error.what());
        answer.code = ResultCode::UpstreamProtocol;
        answer.report = {};
    }
    return answer;
}

http::ClientRequest post(const std::string &address, const std::string &target, const nlohmann::json &body, std::chrono::milliseconds limit)
{
    http::ClientRequest request;
    request.method = "POST";
    request.host = address;
    request.target = target;
    request.body = http::jsonText(body);
    request.limit = limit;
    return request;
}

nlohmann::json startToJson(const StartOrder &order)
{
    return {{"task_id", order.taskId},
            {"attempt", order.attempt},
            {"epoch", order.epoch},
            {"boot", order.boot},
            {"expires_in_ms", order.expiresIn.count()},
            {"lease_ms", order.lease.count()},
            {"wait_ms", order.waitForEnd.count()},
            {"kind", std::string(kindName(order.kind))},
            {"partner", order.partner},
            {"name", order.name},
            {"cpu_millis", order.reserved.cpuMillis},
            {"memory_mib", order.reserved.memoryMiB},
            {"accelerators", order.reserved.accelerators},
            {"payload", order.payload}};
}

} // namespace

HttpUpstreamAdapter::HttpUpstreamAdapter(const http::ClientOptions &options)
    : client(options)
{
}

void HttpUpstreamAdapter::start(
    const std::string &address, const StartOrder &order, std::chrono::milliseconds limit, const std::string &traceparent, TaskDone done)
{
    http::ClientRequest request = post(address, "/v1/tasks", startToJson(order), limit);
    request.traceparent = traceparent;
    static CallFigures figures("start");
    const auto answered = [address, taskId = order.taskId, attempt = order.attempt, done = std::move(done)](const http::ClientResponse &response) {
        done(startAnswerOf(address, taskId, attempt, response));
    };
    this->client.call(std::move(request), figures.recording(answered));
}

void HttpUpstreamAdapter::renew(const std::string &address, const RenewOrder &order, std::chrono::milliseconds limit, RenewDone done)
{
    nlohmann::json acknowledged = nlohmann::json::array();
    for (const model::TaskAttempt &ended : order.acknowledged) {
        acknowledged.push_back({{"task_id", ended.taskId}, {"attempt", ended.attempt}});
    }
    const nlohmann::json body = {{"epoch", order.epoch}, {"lease_ms", order.lease.count()}, {"whole", order.whole}, {"acknowledged", std::move(acknowledged)}};
    static CallFigures figures("renew");
    const auto answered = [address, done = std::move(done)](const http::ClientResponse &response) { done(renewAnswerOf(address, response)); };
    this->client.call(post(address, "/v1/renew", body, limit), figures.recording(answered));
}

void HttpUpstreamAdapter::ask(const std::string &address, const std::string &taskId, std::chrono::milliseconds limit, TaskDone done)
{
    http::ClientRequest request;
    request.host = address;
    request.target = "/v1/tasks/" + taskId;
    request.limit = limit;
    request.freshConnection = true;
    static CallFigures figures("ask");
    this->client.call(std::move(request), figures.recording(taskAnswered(address, taskId, std::move(done))));
}

void HttpUpstreamAdapter::command(const std::string &address,
                                  const std::string &taskId,
                                  std::uint32_t attempt,
                                  TaskCommand command,
                                  std::uint64_t epoch,
                                  std::chrono::milliseconds limit,
                                  TaskDone done)
{
    const std::string target = "/v1/tasks/" + taskId + "/" + CommandPaths[static_cast<std::size_t>(command)];
    static CallFigures figures("command");
    http::ClientRequest request = post(address, target, {{"epoch", epoch}, {"attempt", attempt}}, limit);
    this->client.call(std::move(request), figures.recording(taskAnswered(address, taskId, std::move(done))));
}

void HttpUpstreamAdapter::stop()
{
    this->client.stop();
}

} // namespace cranberryreel::upstream
