#include "cranberryreel/base/Clock.h"

#include <ctime>

namespace cranberryreel::base
{

SteadyClock::time_point SteadyClock::now() noexcept
{
    timespec reading{};
    // Cannot fail: CLOCK_BOOTTIME exists since Linux 2.6.39 and the address is valid.
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

} // namespace cranberryreel::base
