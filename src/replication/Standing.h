#pragma once

#include <cstdint>

namespace cranberryreel::replication
{

/// Whether a member may vote and counts toward commits.
enum class Standing : std::uint8_t {
    Blank, ///< No stored log, for instance after losing it; waits until a leader elected without this member admits it.
    Unproven, ///< Restarted from its disk; waits for a leader's admission, or until it had no contact with a leader for the restart grace.
    Full, ///< Votes and counts toward commits.
};

} // namespace cranberryreel::replication
