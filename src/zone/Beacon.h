#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cranberryreel::zone
{

/// What the active scheduler of a zone tells all daemons of itself.
struct Beacon {
    std::string zone;
    std::string leader; ///< VM.
    std::uint64_t epoch = 0;
    double used = 0; ///< Dominant fraction of the zone's capacity that is reserved, 0 to 1.
    std::uint32_t waiting = 0; ///< Tasks.
    std::chrono::milliseconds expectedWait{0}; ///< Of an interactive task submitted now.
    bool placing = false;
    std::uint32_t room = 0; ///< About how many more interactive tasks of the usual size would start at once.
};

} // namespace cranberryreel::zone
