#pragma once

#include <chrono>
#include <cstddef>

namespace cranberryreel::http
{

/// Limits of an HTTP client.
struct ClientOptions {
    unsigned int threads = 1; ///< Calls to one host always use the same thread and so the same pooled connections.
    long connectionsPerHost = 60; ///< Further calls wait for a connection, within their time limit.
    long pooledConnections = 1024; ///< Connections kept open per thread, to all hosts together.
    std::chrono::seconds maxIdleTime{20}; ///< A pooled connection that was idle for longer is not reused.
    std::chrono::milliseconds connectLimit{2000};
    std::size_t maxResponseBytes = 128U << 20U; ///< A longer response body fails the call with TooLarge.
};

} // namespace cranberryreel::http
