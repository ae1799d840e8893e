#pragma once

#include <cstddef>

namespace cranberryreel::link
{

/// What a hub spends on its links at most.
struct LinkLimits {
    std::size_t frameBytes = 4U << 20U; ///< Longest frame, sent or received.
    std::size_t handshakeFrameBytes = 4U << 10U; ///< Longest frame of a connection that is not authenticated yet.
    std::size_t queueBytes = 8U << 20U; ///< Frames waiting for one peer.
    std::size_t pendingCalls = 16384; ///< Unanswered calls to one peer.
    std::size_t halfOpenConnections = 64; ///< Accepted connections that are not authenticated yet.
};

} // namespace cranberryreel::link
