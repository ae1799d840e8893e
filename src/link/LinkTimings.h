#pragma once

#include <chrono>

namespace cranberryreel::link
{

/// How quickly a link notices, gives up and tries again.
struct LinkTimings {
    std::chrono::milliseconds heartbeatInterval{400}; ///< Idle time in either direction after which a heartbeat goes out.
    std::chrono::milliseconds deadLimit{1200}; ///< Time without a received byte after which the connection is dropped.
    std::chrono::milliseconds handshakeLimit{800}; ///< From the first packet of a connection until it is authenticated and adopted.
    std::chrono::milliseconds firstRedial{100}; ///< Pause after a first failed dial; doubles up to longestRedial.
    std::chrono::milliseconds longestRedial{800};
    std::chrono::milliseconds dialStagger{150}; ///< Head start of the VM with the lower name, so that both seldom dial at once.
};

} // namespace cranberryreel::link
