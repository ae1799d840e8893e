#include "cli/EntryClient.h"

#include "cranberryreel/base/Error.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

namespace cranberryreel::cli
{

namespace
{

constexpr long FirstErrorStatus = 400;

[[noreturn]] void throwErrorResponse(const http::ClientResponse &response, const std::string &entry)
{
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("code") && body["code"].is_number_integer()) {
        throw base::Error(static_cast<base::ResultCode>(body["code"].get<int>()), body.value("reason", ""));
    }
    throw base::Error(base::ResultCode::EntryUnreachable, fmt::format("{} answered with HTTP status {}; is it an entry VM?", entry, response.status));
}

/// The entry VM refused the request before it did anything, so the request may go to another one.
bool isRefusedUnprocessed(const http::ClientResponse &response)
{
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        return false;
    }
    const auto code = static_cast<base::ResultCode>(body.value("code", 0));
    return code == base::ResultCode::ShuttingDown || code == base::ResultCode::TooManyConnections;
}

} // namespace

EntryClient::EntryClient(std::vector<std::string> entryAddresses, std::string bearerKey)
    : addresses(std::move(entryAddresses))
    , key(std::move(bearerKey))
{
}

const std::vector<std::string> &EntryClient::entryVms() const
{
    return this->addresses;
}

nlohmann::json EntryClient::call(const EntryCall &call)
{
    const std::string body = this->callRaw(call);
    nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_discarded()) {
        throw base::Error(base::ResultCode::EntryUnreachable, "the answer is not JSON; is the address that of an entry VM?");
    }
    return parsed;
}

std::string EntryClient::callRaw(const EntryCall &call)
{
    if (this->addresses.empty()) {
        throw base::Error(base::ResultCode::UsageError, "no entry VM is named; give --entry HOST:PORT or set CRANBERRYREEL_ENTRIES");
    }
    std::vector<std::string> failures;
    bool mayHaveActed = false;
    for (std::size_t index = 0; index < this->addresses.size(); index++) {
        const std::string &entry = this->addresses[index];
        const bool isLast = index + 1 == this->addresses.size();
        http::ClientResponse response = this->send(entry, call);
        if (response.outcome == http::CallOutcome::Answered) {
            if (response.status < FirstErrorStatus) {
                return std::move(response.body);
            }
            if (isLast || !isRefusedUnprocessed(response)) {
                throwErrorResponse(response, entry);
            }
        } else if (response.sent && call.resend == Resend::OnlyUnsent) {
            throw base::Error(
                base::ResultCode::OutcomeUnknown,
                fmt::format("{} may have processed the request but gave no answer ({}); a request with --key can be sent again safely", entry, response.error));
        }
        mayHaveActed = mayHaveActed || (response.outcome != http::CallOutcome::Answered && response.sent && call.method != "GET");
        failures.push_back(fmt::format("{}: {}", entry, response.error));
    }
    if (mayHaveActed) {
        throw base::Error(base::ResultCode::OutcomeUnknown,
                          fmt::format("no entry VM answered and the request may have been processed; repeat it unchanged, it counts once ({})",
                                      absl::StrJoin(failures, "; ")));
    }
    throw base::Error(base::ResultCode::EntryUnreachable, fmt::format("no entry VM answered ({})", absl::StrJoin(failures, "; ")));
}

nlohmann::json EntryClient::callOne(const std::string &entry, const EntryCall &call)
{
    const http::ClientResponse response = this->send(entry, call);
    if (response.outcome != http::CallOutcome::Answered || response.status >= FirstErrorStatus) {
        return nullptr;
    }
    nlohmann::json parsed = nlohmann::json::parse(response.body, nullptr, false);
    return parsed.is_discarded() ? nlohmann::json(nullptr) : parsed;
}

http::ClientResponse EntryClient::send(const std::string &entry, const EntryCall &call)
{
    http::ClientRequest request;
    request.method = call.method;
    request.host = entry;
    request.target = call.target;
    request.bearerKey = this->key;
    request.body = call.body.is_null() ? std::string() : call.body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    request.limit = call.limit;
    return this->client.callAndWait(std::move(request));
}

} // namespace cranberryreel::cli
