#pragma once

#include "http/Response.h"

#include <atomic>
#include <cstddef>

struct MHD_Connection;

namespace cranberryreel::http
{

/// Hands answers to the connections that send them, and bounds the memory of large ones being sent. Owned by the Server; any of its threads.
class AnswerWriter
{
public:
    explicit AnswerWriter(std::size_t maxBytes)
        : budget(maxBytes)
    {
    }

    /// On the connection's thread. Answers AnswerDeferred in place of a large answer that the budget does not hold. False when the connection must be dropped.
    bool write(MHD_Connection *connection, Response response);

private:
    const std::size_t budget; ///< Bytes.
    std::atomic<std::size_t> used{0}; ///< Bytes of large answers being sent.
};

} // namespace cranberryreel::http
