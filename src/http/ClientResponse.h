#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace cranberryreel::http
{

/// How one call of an HTTP client ended.
enum class CallOutcome : std::uint8_t {
    Answered, ///< A complete response arrived, with any status.
    Unreachable, ///< No connection could be opened, or it broke.
    TimedOut,
    TooLarge, ///< The response body exceeds ClientOptions::maxResponseBytes.
    Stopped, ///< The client was stopped.
};

/// The result of one call of an HTTP client.
struct ClientResponse {
    CallOutcome outcome = CallOutcome::Answered;
    bool sent = true; ///< False only if it is certain that no byte of the request left this process.
    bool refused = false; ///< The address refused the connection: nobody listens there.
    long status = 0; ///< HTTP status; 0 unless answered.
    std::string body;
    std::string error; ///< Cause for the log; empty if answered.
};

/// Receives the result of a call. Runs once, on the client's thread; must not block.
using ClientDone = std::function<void(ClientResponse)>;

} // namespace cranberryreel::http
