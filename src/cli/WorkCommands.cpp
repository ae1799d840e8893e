#include "cli/WorkCommands.h"

#include "cli/WorkStatus.h"
#include "cranberryreel/base/Clock.h"
#include "cranberryreel/base/Error.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <algorithm>

namespace cranberryreel::cli
{

namespace
{

constexpr std::chrono::milliseconds ResponseMargin{5000}; ///< Added to a request's deadline or wait before the HTTP request times out.
constexpr std::chrono::milliseconds MaxPollWait{10000};
constexpr std::chrono::hours DefaultWaitLimit{24 * 30};

/// Numeric options and the fields of the request body that carry them.
constexpr std::pair<const char *, const char *> NumberFields[] = {
    {"cpu-millis", "cpu_millis"},
    {"memory-mib", "memory_mib"},
    {"accelerators", "accelerators"},
    {"tasks", "tasks"},
    {"deadline-ms", "deadline_ms"},
    {"run-time-ms", "run_time_ms"},
    {"priority", "priority"},
};

std::string readPayload(const Arguments &arguments)
{
    const std::string payload = arguments.text("payload");
    return !payload.empty() && payload.front() == '@' ? readFile(payload.substr(1)) : payload;
}

nlohmann::json submissionBody(const Arguments &arguments)
{
    nlohmann::json body = {{"name", arguments.operand(0)}};
    for (const auto &[option, field] : NumberFields) {
        if (const auto value = arguments.number(option)) {
            body[field] = *value;
        }
    }
    for (const char *option : {"service", "key"}) {
        if (arguments.has(option)) {
            body[option] = arguments.text(option);
        }
    }
    if (arguments.has("payload")) {
        body["payload"] = readPayload(arguments);
    }
    if (arguments.has("once")) {
        body["repeatable"] = false;
    }
    return body;
}

void requireOptions(const Arguments &arguments, std::initializer_list<const char *> options)
{
    for (const char *option : options) {
        if (!arguments.has(option)) {
            throw base::Error(base::ResultCode::UsageError, fmt::format("--{} is missing", option));
        }
    }
}

base::ResultCode submit(Session &session, const Arguments &arguments, EntryCall call)
{
    if (arguments.has("once") && !arguments.has("key")) {
        throw base::Error(base::ResultCode::UsageError, "--once needs --key, which tells a resend from new work");
    }
    call.method = "POST";
    call.resend = arguments.has("key") ? Resend::Safe : Resend::OnlyUnsent;
    const nlohmann::json status = session.entryClient().call(call);
    printWork(session, status);
    return workResultCode(status);
}

base::ResultCode submitJob(Session &session, const Arguments &arguments, const char *kind)
{
    requireOptions(arguments, {"tasks", "cpu-millis", "memory-mib"});
    EntryCall call;
    call.target = "/v1/jobs";
    call.body = submissionBody(arguments);
    call.body["kind"] = kind;
    return submit(session, arguments, call);
}

nlohmann::json fetchStatus(Session &session, const std::string &id, std::chrono::milliseconds wait)
{
    EntryCall call;
    call.target = fmt::format("/v1/submissions/{}?wait_ms={}", encodePathSegment(id), wait.count());
    call.limit = wait + ResponseMargin;
    return session.entryClient().call(call);
}

} // namespace

std::string encodePathSegment(const std::string &operand)
{
    if (operand.empty()) {
        throw base::Error(base::ResultCode::UsageError, "a name or id is empty");
    }
    std::string encoded;
    for (const char letter : operand) {
        const bool plain = absl::ascii_isalnum(static_cast<unsigned char>(letter)) || letter == '-' || letter == '.' || letter == '_' || letter == '~';
        encoded += plain ? std::string(1, letter) : fmt::format("%{:02X}", static_cast<unsigned char>(letter));
    }
    return encoded;
}

base::ResultCode submitRequest(Session &session, const Arguments &arguments)
{
    requireOptions(arguments, {"cpu-millis", "memory-mib", "deadline-ms"});
    EntryCall call;
    call.target = "/v1/requests";
    call.body = submissionBody(arguments);
    call.limit = std::chrono::milliseconds(std::max<std::int64_t>(0, arguments.number("deadline-ms").value_or(0))) + ResponseMargin;
    return submit(session, arguments, call);
}

base::ResultCode submitBatch(Session &session, const Arguments &arguments)
{
    return submitJob(session, arguments, "batch");
}

base::ResultCode submitGang(Session &session, const Arguments &arguments)
{
    return submitJob(session, arguments, "gang");
}

base::ResultCode submitService(Session &session, const Arguments &arguments)
{
    return submitJob(session, arguments, "service");
}

base::ResultCode showStatus(Session &session, const Arguments &arguments)
{
    return session.showOrWatch(arguments, [&] {
        const nlohmann::json status = fetchStatus(session, arguments.operand(0), std::chrono::milliseconds(0));
        printWork(session, status);
        return !isFinished(status);
    });
}

base::ResultCode waitForWork(Session &session, const Arguments &arguments)
{
    const auto limit = arguments.number("limit-s");
    const auto deadline = base::steadyNow() + (limit ? std::chrono::seconds(*limit) : std::chrono::seconds(DefaultWaitLimit));
    nlohmann::json status;
    do {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - base::steadyNow());
        status = fetchStatus(session, arguments.operand(0), std::clamp(left, std::chrono::milliseconds(0), MaxPollWait));
    } while (!isFinished(status) && base::steadyNow() < deadline);
    printWork(session, status);
    if (!isFinished(status)) {
        throw base::Error(base::ResultCode::WaitTimedOut, "the work is not finished yet; wait again, or see `cranberryreel explain ID`");
    }
    return workResultCode(status);
}

base::ResultCode printAnswer(Session &session, const Arguments &arguments)
{
    EntryCall call;
    call.target = fmt::format("/v1/submissions/{}/answer", encodePathSegment(arguments.operand(0)));
    call.limit = std::chrono::minutes(5);
    session.out() << session.entryClient().callRaw(call);
    return base::ResultCode::Ok;
}

base::ResultCode cancelWork(Session &session, const Arguments &arguments)
{
    EntryCall call;
    call.method = "DELETE";
    call.target = "/v1/submissions/" + encodePathSegment(arguments.operand(0));
    printWork(session, session.entryClient().call(call));
    return base::ResultCode::Ok;
}

} // namespace cranberryreel::cli
