#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace cranberryreel::http
{

enum class CallOutcome : std::uint8_t {
    Answered, ///< A whole answer came, of whatever status.
    Unreachable, ///< No connection, or it broke.
    TimedOut,
    TooLarge, ///< The answer exceeds maxAnswerBytes.
    Stopped, ///< The client was stopped.
};

/// How one call of an HTTP client ended.
struct ClientResponse {
    CallOutcome outcome = CallOutcome::Answered;
    bool sent = true; ///< False only when provably no byte of the request left this process.
    long status = 0; ///< HTTP status, when answered.
    std::string body;
    std::string error; ///< For logs, when not answered.
};

/// Runs once, on the client's thread; must not block.
using ClientDone = std::function<void(ClientResponse)>;

} // namespace cranberryreel::http
