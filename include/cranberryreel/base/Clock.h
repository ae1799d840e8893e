#pragma once

#include <chrono>

namespace cranberryreel::base
{

/// Time that only moves forward and goes on while the VM is suspended, unlike std::chrono::steady_clock on Linux. A leader that was suspended must find its
/// lease over when it goes on.
struct SteadyClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SteadyClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard library asks clocks for this name.

    static time_point now() noexcept;
};

/// Every timer, lease and deadline uses it; wall-clock time appears only in logs and traces.
using SteadyTime = SteadyClock::time_point;

/// Wall-clock time, for people only.
using WallTime = std::chrono::system_clock::time_point;

inline SteadyTime steadyNow()
{
    return SteadyClock::now();
}

} // namespace cranberryreel::base
