#pragma once

#include "http/Client.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace cranberryreel::cli
{

/// Whether a request may be sent to another entry VM after one that did not answer.
enum class Resend : std::uint8_t {
    Safe, ///< A request that arrives twice takes effect once.
    OnlyUnsent, ///< Only if the request certainly did not arrive.
};

/// One HTTP request to an entry VM.
struct EntryCall {
    std::string method = "GET";
    std::string target;
    nlohmann::json body; ///< Null for a request without a body.
    Resend resend = Resend::Safe;
    std::chrono::milliseconds limit{10000};
};

/// Sends requests to the entry VMs, trying them in order until one answers. Owned by the Session; used by one thread.
class EntryClient
{
public:
    /// `addresses` are "host:port".
    EntryClient(std::vector<std::string> addresses, std::string bearerKey);

    const std::vector<std::string> &entryVms() const;

    /// Returns the JSON of the response. Throws base::Error with the code and reason of an error response, EntryUnreachable when no entry VM answered, or
    /// OutcomeUnknown when one may have processed the request.
    nlohmann::json call(const EntryCall &call);

    /// Like call(), but returns the unparsed body of the response.
    std::string callRaw(const EntryCall &call);

    /// Sends the request to one entry VM; returns null when it gives no answer, an error or no JSON.
    nlohmann::json callOne(const std::string &entry, const EntryCall &call);

private:
    http::ClientResponse send(const std::string &entry, const EntryCall &call);

    const std::vector<std::string> addresses;
    const std::string key;
    http::Client client;
};

} // namespace cranberryreel::cli
