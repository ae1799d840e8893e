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

constexpr long StatusOk = 200;
constexpr long StatusNotFound = 404;
constexpr long StatusRequestTimeout = 408;
constexpr long StatusConflict = 409;
constexpr long FirstClientErrorStatus = 400;
constexpr long FirstServerErrorStatus = 500;
constexpr std::int64_t MaxResultCode = 9999;

constexpr const char *CommandPaths[] = {"stop", "throttle", "checkpoint"};

const observe::Log &log()
{
    static const observe::Log instance("upstream");
    return instance;
}

/// The metrics of one kind of call.
struct CallMetrics {
    explicit CallMetrics(const std::string &call)
        : durations(observe::durations("cranberryreel_upstream_call_seconds", "From a call to an upstream to its answer.", "call=\"" + call + '"'))
        , failures(observe::counter("cranberryreel_upstream_calls_failed_total", "Calls to upstreams without a whole answer.", "call=\"" + call + '"'))
    {
    }

    /// Wraps the callback of a call that begins now, to record the call's duration and failure.
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
        const auto code = static_cast<ResultCode>(http::JsonReader(json).integer("code", 0, MaxResultCode));
        return code == ResultCode::UpstreamStaleEpoch ? code : ResultCode::UpstreamRefused;
    } catch (const base::Error &) {
        return ResultCode::UpstreamRefused;
    }
}

/// The result code of a response; Ok means that the body is to be decoded.
ResultCode resultCodeFor(const http::ClientResponse &response)
{
    if (response.outcome == http::CallOutcome::TooLarge) {
        return ResultCode::UpstreamProtocol;
    }
    if (response.outcome != http::CallOutcome::Answered) {
        return ResultCode::UpstreamUnreachable;
    }
    if (response.status == StatusOk) {
        return ResultCode::Ok;
    }
    if (response.status == StatusConflict) {
        return refusalCode(response.body);
    }
    if (response.status == StatusNotFound) {
        return ResultCode::NotFound;
    }
    if (response.status == StatusRequestTimeout || response.status < FirstClientErrorStatus || response.status >= FirstServerErrorStatus) {
        return ResultCode::UpstreamProtocol;
    }
    return ResultCode::UpstreamRefused;
}

TaskAnswer decodeTaskAnswer(const std::string &address, const std::string &taskId, const http::ClientResponse &response)
{
    TaskAnswer answer;
    answer.code = resultCodeFor(response);
    answer.sent = response.sent;
    if (answer.code != ResultCode::Ok) {
        return answer;
    }
    try {
        const nlohmann::json json = http::parseJson(response.body);
        answer.report = taskReportFrom(http::JsonReader(json), Strictness::Lenient);
        if (answer.report.taskId != taskId) {
            throw base::Error(ResultCode::UpstreamProtocol, "the response names another task");
        }
    } catch (const base::Error &error) {
        log().warn("Cannot decode the response of {} about task {}: {}.", address, taskId, error.what());
        answer.code = ResultCode::UpstreamProtocol;
        answer.report = {};
    }
    return answer;
}

TaskAnswer decodeStartAnswer(const std::string &address, const std::string &taskId, std::uint32_t attempt, const http::ClientResponse &response)
{
    TaskAnswer answer = decodeTaskAnswer(address, taskId, response);
    if (answer.code == ResultCode::NotFound) {
        answer.code = ResultCode::UpstreamRefused;
    }
    if (answer.code == ResultCode::Ok && answer.report.attempt != attempt) {
        log().warn("{} answered the start of task {} with a report of another attempt.", address, taskId);
        answer.code = ResultCode::UpstreamProtocol;
    }
    return answer;
}

http::ClientDone taskAnswerDecoder(const std::string &address, const std::string &taskId, TaskDone done)
{
    return [address, taskId, done = std::move(done)](const http::ClientResponse &response) { done(decodeTaskAnswer(address, taskId, response)); };
}

RenewAnswer decodeRenewAnswer(const std::string &address, const http::ClientResponse &response)
{
    RenewAnswer answer;
    answer.code = resultCodeFor(response);
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
        log().warn("Cannot decode the report of {}: {}.", address, error.what());
        answer.code = ResultCode::UpstreamProtocol;
        answer.report = {};
    }
    return answer;
}

http::ClientRequest postRequest(const std::string &address, const std::string &target, const nlohmann::json &body, std::chrono::milliseconds limit)
{
    http::ClientRequest httpRequest;
    httpRequest.method = "POST";
    httpRequest.host = address;
    httpRequest.target = target;
    httpRequest.body = http::jsonText(body);
    httpRequest.limit = limit;
    return httpRequest;
}

nlohmann::json startToJson(const StartRequest &request)
{
    return {{"task_id", request.taskId},
            {"attempt", request.attempt},
            {"epoch", request.epoch},
            {"boot", request.boot},
            {"expires_in_ms", request.expiresIn.count()},
            {"lease_ms", request.lease.count()},
            {"wait_ms", request.waitForEnd.count()},
            {"kind", std::string(kindName(request.kind))},
            {"partner", request.partner},
            {"name", request.name},
            {"cpu_millis", request.reserved.cpuMillis},
            {"memory_mib", request.reserved.memoryMiB},
            {"accelerators", request.reserved.accelerators},
            {"payload", request.payload}};
}

} // namespace

HttpUpstreamAdapter::HttpUpstreamAdapter(const http::ClientOptions &options)
    : client(options)
{
}

void HttpUpstreamAdapter::start(
    const std::string &address, const StartRequest &request, std::chrono::milliseconds limit, const std::string &traceparent, TaskDone done)
{
    http::ClientRequest httpRequest = postRequest(address, "/v1/tasks", startToJson(request), limit);
    httpRequest.traceparent = traceparent;
    static CallMetrics metrics("start");
    const auto onResponse = [address, taskId = request.taskId, attempt = request.attempt, done = std::move(done)](const http::ClientResponse &response) {
        done(decodeStartAnswer(address, taskId, attempt, response));
    };
    this->client.call(std::move(httpRequest), metrics.recording(onResponse));
}

void HttpUpstreamAdapter::renew(const std::string &address, const RenewRequest &request, std::chrono::milliseconds limit, RenewDone done)
{
    nlohmann::json acknowledged = nlohmann::json::array();
    for (const model::TaskAttempt &ended : request.acknowledged) {
        acknowledged.push_back({{"task_id", ended.taskId}, {"attempt", ended.attempt}});
    }
    const nlohmann::json body = {
        {"epoch", request.epoch}, {"lease_ms", request.lease.count()}, {"whole", request.includeRunning}, {"acknowledged", std::move(acknowledged)}};
    static CallMetrics metrics("renew");
    const auto onResponse = [address, done = std::move(done)](const http::ClientResponse &response) { done(decodeRenewAnswer(address, response)); };
    this->client.call(postRequest(address, "/v1/renew", body, limit), metrics.recording(onResponse));
}

void HttpUpstreamAdapter::queryTask(const std::string &address, const std::string &taskId, std::chrono::milliseconds limit, TaskDone done)
{
    http::ClientRequest httpRequest;
    httpRequest.host = address;
    httpRequest.target = "/v1/tasks/" + taskId;
    httpRequest.limit = limit;
    httpRequest.freshConnection = true;
    static CallMetrics metrics("ask");
    this->client.call(std::move(httpRequest), metrics.recording(taskAnswerDecoder(address, taskId, std::move(done))));
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
    static CallMetrics metrics("command");
    http::ClientRequest httpRequest = postRequest(address, target, {{"epoch", epoch}, {"attempt", attempt}}, limit);
    this->client.call(std::move(httpRequest), metrics.recording(taskAnswerDecoder(address, taskId, std::move(done))));
}

void HttpUpstreamAdapter::stop()
{
    this->client.stop();
}

} // namespace cranberryreel::upstream
