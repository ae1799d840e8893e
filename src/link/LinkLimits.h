#pragma once

#include <cstddef>

namespace cranberryreel::link
{

/// Resource limits of a hub.
struct LinkLimits {
    std::size_t frameBytes = 4U << 20U; ///< Maximum size of a frame, sent or received.
    std::size_t handshakeFrameBytes = 4U << 10U; ///< Maximum size of a frame on a connection that is not authenticated yet.
    std::size_t queueBytes = 8U << 20U; ///< Maximum total size of the frames queued for one peer.
    std::size_t pendingCalls = 16384; ///< Maximum number of unanswered calls to one peer.
    std::size_t halfOpenConnections = 64; ///< Maximum number of accepted connections that are not authenticated yet.
};

} // namespace cranberryreel::link
