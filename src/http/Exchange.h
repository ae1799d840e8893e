#pragma once

#include "http/Request.h"
#include "http/Response.h"
#include "http/TrackedConnection.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>

struct MHD_Connection;

namespace cranberryreel::http
{

/// One request and its pending response. Until the response is available the connection is suspended and occupies no thread. Shared by the connection and the
/// holders of the responder.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(MHD_Connection *mhdConnection, TrackedConnection &trackedConnection);

    /// Sets the response and resumes the connection if it is suspended; later calls have no effect. Any thread.
    void setResponse(Response response);

    /// Returns the response if it is available, otherwise suspends the connection until it is. Called on the connection's thread.
    std::optional<Response> takeResponseOrSuspend();

    /// Must be called when the connection is closed; later responses are dropped.
    void detach();

    /// Creates the responder for the handler. If all its copies are destroyed unused, the response is the error Internal.
    Responder responder();

    Request request;
    TrackedConnection &tracked;
    std::size_t bodyLimit = 0; ///< Bytes.
    std::size_t received = 0; ///< Bytes of the body received so far, including dropped ones.
    std::size_t buffered = 0; ///< Bytes counted in the server's total of buffered bytes.
    base::ResultCode refusal = base::ResultCode::Ok; ///< Unless Ok, the rest of the body is dropped and this error is the response.
    bool complete = false; ///< The request was received completely and passed to the handler.

private:
    absl::Mutex mutex;
    MHD_Connection *connection ABSL_GUARDED_BY(mutex);
    bool answered ABSL_GUARDED_BY(mutex) = false;
    bool suspended ABSL_GUARDED_BY(mutex) = false;
    std::optional<Response> response ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::http
