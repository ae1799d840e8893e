#include "SkewedClocks.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <ctime>

namespace
{

std::atomic<std::int64_t> suspendedSeconds{0};
std::atomic<std::int64_t> aheadSeconds{0};

} // namespace

// Overrides the C library's function in this test program.
extern "C" int clock_gettime(clockid_t clock, timespec *reading) noexcept
{
    const long result = syscall(SYS_clock_gettime, clock, reading);
    if (result == 0 && clock == CLOCK_BOOTTIME) {
        reading->tv_sec += suspendedSeconds.load();
    }
    if (result == 0 && clock == CLOCK_REALTIME) {
        reading->tv_sec += aheadSeconds.load();
    }
    return static_cast<int>(result);
}

namespace cranberryreel::testsupport
{

void skewClocks(std::chrono::seconds suspended, std::chrono::seconds timeOfDayAhead)
{
    suspendedSeconds = suspended.count();
    aheadSeconds = timeOfDayAhead.count();
}

} // namespace cranberryreel::testsupport
