#pragma once

#include <chrono>
#include <cstddef>

namespace cranberryreel::http
{

/// What an HTTP client may hold open.
struct ClientOptions {
    unsigned int threads = 1; ///< Calls to one host always use the same thread and so the same pooled connections.
    long connectionsPerHost = 60; ///< Further calls wait for one, within their limit.
    long pooledConnections = 1024; ///< Kept open in all, per thread.
    std::chrono::seconds maxIdle{20}; ///< A pooled connection idle for longer is not used again.
    std::chrono::milliseconds connectLimit{2000};
    std::size_t maxAnswerBytes = 128U << 20U; ///< A longer answer fails the call.
};

} // namespace cranberryreel::http
