#pragma once

#include <chrono>

namespace cranberryreel::base
{

/// Monotonic clock that includes time spent suspended, unlike std::chrono::steady_clock on Linux. A leader whose VM was suspended must find its lease expired
/// on resume.
struct SteadyClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SteadyClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard library requires this name.

    static time_point now() noexcept;
};

/// Time point of every timer, lease and deadline; wall-clock time appears only in logs and traces.
using SteadyTime = SteadyClock::time_point;

/// Wall-clock time, for display only.
using WallTime = std::chrono::system_clock::time_point;

inline SteadyTime steadyNow()
{
    return SteadyClock::now();
}

} // namespace cranberryreel::base
