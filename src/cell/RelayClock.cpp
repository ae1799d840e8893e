#include "cell/RelayClock.h"

namespace cranberryreel::cell
{

namespace
{

/// Kernels correct the rate of a steady clock by at most 0.05%, here on two VMs.
constexpr double ClockDrift = 0.001;
/// A reading so far below the known minimum is of a clock that started anew with its VM; links drop after a much shorter silence.
constexpr std::chrono::seconds MaxReadingAge{5};

} // namespace

std::chrono::milliseconds RelayClock::ownReading()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(base::steadyNow().time_since_epoch());
}

void RelayClock::record(std::chrono::milliseconds reading, base::SteadyTime now)
{
    if (const auto least = this->minimum(now); !least || reading > *least || reading < *least - MaxReadingAge) {
        this->lastReading = reading;
        this->lastReadingAt = now;
    }
}

std::optional<std::chrono::milliseconds> RelayClock::minimum(base::SteadyTime now) const
{
    if (!this->lastReading) {
        return std::nullopt;
    }
    return *this->lastReading + std::chrono::duration_cast<std::chrono::milliseconds>((now - this->lastReadingAt) * (1.0 - ClockDrift));
}

} // namespace cranberryreel::cell
