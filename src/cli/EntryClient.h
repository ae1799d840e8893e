#pragma once

#include "http/Client.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace cranberryreel::cli
{

/// Whether a call may go to a further entry VM when the first gave no answer.
enum class Resend : std::uint8_t {
    Safe, ///< Sent twice, it counts once.
    OnlyUnsent, ///< Only while it provably did not arrive.
};

struct EntryCall {
    std::string method = "GET";
    std::string target;
    nlohmann::json body; ///< Null: none.
    Resend resend = Resend::Safe;
    std::chrono::milliseconds limit{10000};
};

/// The tool's way to the entry VMs: tries them in order until one answers. Owned by the session.
class EntryClient
{
public:
    /// `addresses` are "host:port".
    EntryClient(std::vector<std::string> addresses, std::string bearerKey);

    const std::vector<std::string> &entries() const;

    /// The answer's JSON. Throws base::Error: the code and reason of the entry VM's answer; EntryUnreachable when none answered; OutcomeUnknown when one may
    /// have taken the call.
    nlohmann::json call(const EntryCall &call);

    /// The same, with the answer's bytes as they are.
    std::string callRaw(const EntryCall &call);

    /// One entry VM only; null when it gives no good answer.
    nlohmann::json callOne(const std::string &entry, const EntryCall &call);

private:
    http::ClientResponse send(const std::string &entry, const EntryCall &call);

    const std::vector<std::string> addresses;
    const std::string key;
    http::Client client;
};

} // namespace cranberryreel::cli
