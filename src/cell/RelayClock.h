#pragma once

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <optional>

namespace cranberryreel::cell
{

/// A lower bound of another VM's steady clock, from readings that took an unknown time to arrive. Only durations of the two clocks are compared. Not
/// thread-safe.
class RelayClock
{
public:
    /// This VM's clock, as other VMs may record it.
    static std::chrono::milliseconds ownReading();

    /// Records a reading that arrived at `now`.
    void record(std::chrono::milliseconds reading, base::SteadyTime now);

    /// The lowest value that the clock can show at `now`; nothing before the first reading.
    std::optional<std::chrono::milliseconds> minimum(base::SteadyTime now) const;

private:
    std::optional<std::chrono::milliseconds> lastReading;
    base::SteadyTime lastReadingAt{};
};

} // namespace cranberryreel::cell
