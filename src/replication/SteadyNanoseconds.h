#pragma once

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>

namespace cranberryreel::replication
{

/// Converts a steady time to the form used in messages; the value is meaningful on the sending VM only.
inline std::int64_t toNanoseconds(base::SteadyTime time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

inline base::SteadyTime fromNanoseconds(std::int64_t count)
{
    return base::SteadyTime(std::chrono::duration_cast<base::SteadyTime::duration>(std::chrono::nanoseconds(count)));
}

} // namespace cranberryreel::replication
