#pragma once

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <string>

namespace cranberryreel::link
{

/// Logs refused handshakes, at most one line per second, so that unauthenticated dialers cannot flood the log. Owned by the hub; I/O thread only.
class RefusalLog
{
public:
    void logRefusal(base::SteadyTime now, const std::string &sentence);

private:
    base::SteadyTime lastLine{};
    std::uint64_t unlogged = 0;
};

} // namespace cranberryreel::link
