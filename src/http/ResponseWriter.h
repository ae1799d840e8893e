#pragma once

#include "http/Response.h"

#include <atomic>
#include <cstddef>

struct MHD_Connection;

namespace cranberryreel::http
{

/// Queues responses on their connections and limits the memory of all large responses being sent. Owned by the Server; any of its threads.
class ResponseWriter
{
public:
    explicit ResponseWriter(std::size_t maxBytes)
        : budget(maxBytes)
    {
    }

    /// Called on the connection's thread. Sends the error AnswerDeferred instead of a large response that exceeds the budget. Returns false if the connection
    /// must be dropped.
    bool write(MHD_Connection *connection, Response response);

private:
    const std::size_t budget; ///< Bytes.
    std::atomic<std::size_t> used{0}; ///< Bytes of large responses being sent.
};

} // namespace cranberryreel::http
