#pragma once

#include <chrono>

namespace cranberryreel::zone
{

/// Wall-clock time since the Unix epoch. Used for retention only, since the clock may jump.
inline std::chrono::milliseconds unixNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace cranberryreel::zone
