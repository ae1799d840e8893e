#pragma once

#include "cranberryreel/base/Clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <memory>

namespace cranberryreel::http
{

class Exchange;

/// What a connection is doing, as far as time limits go.
enum class ConnectionPhase : std::uint8_t {
    FirstRequest, ///< Its first request's headers are awaited.
    Idle, ///< Between requests.
    ReceivingBody,
    Answering, ///< The request is whole; its answer is awaited.
    Writing,
    TimedOut, ///< Closed by the watch; whatever arrives still is dropped.
};

/// One open connection under its time limits. Owned by the ConnectionTable while the socket is open.
struct ConnectionWatch {
    int socket = -1;
    std::uint64_t number = 0; ///< Counts connections from 1.
    bool overLimit = false; ///< Opened beyond the limit of connections; it gets a refusal only.
    absl::Mutex mutex;
    ConnectionPhase phase ABSL_GUARDED_BY(mutex) = ConnectionPhase::FirstRequest;
    base::SteadyTime since ABSL_GUARDED_BY(mutex) = base::steadyNow();
    std::shared_ptr<Exchange> exchange ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::http
