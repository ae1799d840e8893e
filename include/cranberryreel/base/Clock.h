#pragma once

#include <chrono>

namespace cranberryreel::base
{

/// Monotonic time of this process. Every timer, lease and deadline uses it; wall-clock time appears only in logs and traces.
using SteadyTime = std::chrono::steady_clock::time_point;

/// Wall-clock time, for people only.
using WallTime = std::chrono::system_clock::time_point;

inline SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace cranberryreel::base
