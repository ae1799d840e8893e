#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace cranberryreel::zone
{

// Times as the zone schema holds them: whole milliseconds, never negative.

inline std::chrono::milliseconds millisFromWire(std::uint64_t count)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(count));
}

inline std::uint64_t millisToWire(std::chrono::milliseconds time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count()));
}

} // namespace cranberryreel::zone
