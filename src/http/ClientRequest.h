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
    std::string target = "/"; ///< Path and query, percent-encoded already.
    std::string bearerKey; ///< Empty: no Authorization header.
    std::string traceparent; ///< Empty: no header.
    std::vector<std::pair<std::string, std::string>> headers = {}; ///< Besides the usual ones.
    std::string body; ///< JSON; sent with POST and PUT.
    std::chrono::milliseconds limit{5000}; ///< For the whole call, connecting and waiting for a connection included.
    bool freshConnection = false; ///< True: a new connection, since an open one may be dead for good.
};

} // namespace cranberryreel::http
