#pragma once

#include <cstdint>

namespace cranberryreel::replication
{

/// Whether a member may vote and count toward a commit.
enum class Standing : std::uint8_t {
    Blank, ///< It has lost its memory: it waits until a leader elected without it admits it.
    Unproven, ///< It read its disk after a restart: it waits for a leader's admission, or until none is heard for the restart grace.
    Full, ///< It votes and counts.
};

} // namespace cranberryreel::replication
