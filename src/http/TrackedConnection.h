#pragma once

#include "cranberryreel/base/Clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <memory>

namespace cranberryreel::http
{

class Exchange;

/// Phases of a connection with different time limits.
enum class ConnectionPhase : std::uint8_t {
    FirstRequest, ///< Waiting for the headers of the first request.
    Idle, ///< Waiting for the headers of the next request.
    ReceivingBody,
    AwaitingResponse, ///< The request is complete; waiting for the response of the handler, without a time limit.
    Writing,
    TimedOut, ///< Closed by the ConnectionTable; data that still arrives is dropped.
};

/// The state of one open connection for its time limits. Owned by the ConnectionTable while the socket is open.
struct TrackedConnection {
    int socket = -1;
    std::uint64_t number = 0; ///< Sequence number of the connection, from 1.
    bool overLimit = false; ///< Opened beyond the limit of connections; its requests are only refused.
    absl::Mutex mutex;
    ConnectionPhase phase ABSL_GUARDED_BY(mutex) = ConnectionPhase::FirstRequest;
    base::SteadyTime phaseStart ABSL_GUARDED_BY(mutex) = base::steadyNow();
    std::shared_ptr<Exchange> exchange ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::http
