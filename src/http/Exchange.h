#pragma once

#include "http/ConnectionWatch.h"
#include "http/Request.h"
#include "http/Response.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>

struct MHD_Connection;

namespace cranberryreel::http
{

/// One request and its answer to come. While no answer is there the connection is parked and costs no thread. Shared by the connection and by whoever holds
/// the responder.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(MHD_Connection *parkedConnection, ConnectionWatch &connectionWatch);

    /// The first call's answer is kept; wakes the connection if it is parked. Any thread.
    void answer(Response response);

    /// On the connection's thread: the answer if there is one, else the connection is parked until there is.
    std::optional<Response> takeOrPark();

    /// The connection is gone.
    void detach();

    /// Answers Internal when the last copy is dropped without an answer.
    Responder responder();

    Request request;
    ConnectionWatch &watch;
    std::size_t bodyLimit = 0; ///< Bytes.
    std::size_t received = 0; ///< Bytes of body so far, kept or not.
    std::size_t buffered = 0; ///< Bytes taken from the server's budget.
    base::ResultCode refusal = base::ResultCode::Ok; ///< Set: the rest of the body is dropped and this answered.
    bool whole = false; ///< Received whole and handed to the handler.

private:
    absl::Mutex mutex;
    MHD_Connection *connection ABSL_GUARDED_BY(mutex);
    bool answered ABSL_GUARDED_BY(mutex) = false;
    bool parked ABSL_GUARDED_BY(mutex) = false;
    std::optional<Response> response ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::http
