#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace cranberryreel::zone
{

// Conversions of times to and from the zone schema, which holds whole milliseconds and no negative values.

inline std::chrono::milliseconds millisFromWire(std::uint64_t count)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(count));
}

inline std::uint64_t millisToWire(std::chrono::milliseconds time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count()));
}

} // namespace cranberryreel::zone
