#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cranberryreel::zone
{

/// A periodic broadcast from the active scheduler of a zone to all daemons, with its identity and its load.
struct Beacon {
    std::string zone;
    std::string leader; ///< VM of the active scheduler.
    std::uint64_t epoch = 0;
    double used = 0; ///< Fraction of the zone's capacity that is reserved, 0 to 1, in the dimension with the largest fraction.
    std::uint32_t waiting = 0; ///< Number of waiting tasks.
    std::chrono::milliseconds expectedWait{0}; ///< Expected wait of an interactive task that is submitted now.
    bool placing = false; ///< False while a new leader may not place tasks yet.
    std::uint32_t freeRequestSlots = 0; ///< Estimated number of interactive tasks of the usual size that could start at once.
};

} // namespace cranberryreel::zone
