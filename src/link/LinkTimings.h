#pragma once

#include <chrono>

namespace cranberryreel::link
{

/// Timings of heartbeats, time limits and redials of links.
struct LinkTimings {
    std::chrono::milliseconds heartbeatInterval{400}; ///< Idle time in either direction after which a heartbeat is sent.
    std::chrono::milliseconds deadLimit{1200}; ///< Time without a received byte after which the connection is dropped.
    std::chrono::milliseconds handshakeLimit{800}; ///< Time from the opening of a connection until it must be authenticated and adopted.
    std::chrono::milliseconds initialRedialPause{100}; ///< Pause after a first failed dial; doubles up to maxRedialPause.
    std::chrono::milliseconds maxRedialPause{800};
    std::chrono::milliseconds dialStagger{150}; ///< Extra delay of the VM with the higher name before it dials, so that both ends rarely dial at once.
};

} // namespace cranberryreel::link
