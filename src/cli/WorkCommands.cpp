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

constexpr std::chrono::milliseconds AnswerMargin{5000}; ///< Past a request's deadline until its answer must be here.
constexpr std::chrono::milliseconds LongestPoll{10000};
constexpr std::chrono::hours LongestWait{24 * 30};

/// Options that become number fields of the same meaning.
constexpr std::pair<const char *, const char *> NumberFields[] = {
    {"cpu-millis", "cpu_millis"},
    {"memory-mib", "memory_mib"},
    {"accelerators", "accelerators"},
    {"tasks", "tasks"},
    {"deadline-ms", "deadline_ms"},
    {"run-time-ms", "run_time_ms"},
    {"priority", "priority"},
};

std::string payloadFrom(const Arguments &arguments)
{
    const std::string payload = arguments.text("payload");
    return !payload.empty() && payload.front() == '@' ? readFile(payload.substr(1)) : payload;
}

nlohmann::json bodyFrom(const Arguments &arguments)
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
        body["payload"] = payloadFrom(arguments);
    }
    if (arguments.has("once")) {
        body["repeatable"] = false;
    }
    return body;
}

void require(const Arguments &arguments, std::initializer_list<const char *> options)
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
        throw base::Error(base::ResultCode::UsageError, "--once needs --key, so that a resend can be told from new work");
    }
    call.method = "POST";
    call.resend = arguments.has("key") ? Resend::Safe : Resend::OnlyUnsent;
    const nlohmann::json status = session.entries().call(call);
    printWork(session, status);
    return codeOfWork(status);
}

base::ResultCode submitJob(Session &session, const Arguments &arguments, const char *kind)
{
    require(arguments, {"tasks", "cpu-millis", "memory-mib"});
    EntryCall call;
    call.target = "/v1/jobs";
    call.body = bodyFrom(arguments);
    call.body["kind"] = kind;
    return submit(session, arguments, call);
}

nlohmann::json statusOf(Session &session, const std::string &id, std::chrono::milliseconds wait)
{
    EntryCall call;
    call.target = fmt::format("/v1/submissions/{}?wait_ms={}", pathPart(id), wait.count());
    call.limit = wait + AnswerMargin;
    return session.entries().call(call);
}

} // namespace

std::string pathPart(const std::string &operand)
{
    if (operand.empty()) {
        throw base::Error(base::ResultCode::UsageError, "an empty name or id names nothing");
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
    require(arguments, {"cpu-millis", "memory-mib", "deadline-ms"});
    EntryCall call;
    call.target = "/v1/requests";
    call.body = bodyFrom(arguments);
    call.limit = std::chrono::milliseconds(std::max<std::int64_t>(0, arguments.number("deadline-ms").value_or(0))) + AnswerMargin;
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
    return session.show(arguments, [&] {
        const nlohmann::json status = statusOf(session, arguments.operand(0), std::chrono::milliseconds(0));
        printWork(session, status);
        return !isOver(status);
    });
}

base::ResultCode waitForWork(Session &session, const Arguments &arguments)
{
    const auto limit = arguments.number("limit-s");
    const auto deadline = base::steadyNow() + (limit ? std::chrono::seconds(*limit) : std::chrono::seconds(LongestWait));
    nlohmann::json status;
    do {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - base::steadyNow());
        status = statusOf(session, arguments.operand(0), std::clamp(left, std::chrono::milliseconds(0), LongestPoll));
    } while (!isOver(status) && base::steadyNow() < deadline);
    printWork(session, status);
    if (!isOver(status)) {
        throw base::Error(base::ResultCode::WaitTimedOut, "it is not over yet; wait again, or see `cranberryreel explain ID`");
    }
    return codeOfWork(status);
}

base::ResultCode printAnswer(Session &session, const Arguments &arguments)
{
    EntryCall call;
    call.target = fmt::format("/v1/submissions/{}/answer", pathPart(arguments.operand(0)));
    call.limit = std::chrono::minutes(5);
    session.out() << session.entries().callRaw(call);
    return base::ResultCode::Ok;
}

base::ResultCode cancelWork(Session &session, const Arguments &arguments)
{
    EntryCall call;
    call.method = "DELETE";
    call.target = "/v1/submissions/" + pathPart(arguments.operand(0));
    printWork(session, session.entries().call(call));
    return base::ResultCode::Ok;
}

} // namespace cranberryreel::cli
