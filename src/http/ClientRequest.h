#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::http
{

/// One call of an HTTP client.
struct ClientRequest {
    std::string method = "GET";
    std::string host; ///< "address:port".
    std::string target = "/"; ///< Path and query, already percent-encoded.
    std::string bearerKey; ///< Empty: no Authorization header.
    std::string traceparent; ///< Empty: no traceparent header.
    std::vector<std::pair<std::string, std::string>> headers = {}; ///< Additional headers.
    std::string body; ///< JSON; sent with POST and PUT.
    std::chrono::milliseconds limit{5000}; ///< Time limit of the whole call, including connecting and waiting for a connection.
    bool freshConnection = false; ///< True: opens a new connection, because a pooled one may be dead.
};

} // namespace cranberryreel::http
