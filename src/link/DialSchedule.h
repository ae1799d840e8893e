#pragma once

#include "link/LinkTimings.h"

#include "cranberryreel/base/Clock.h"

#include <algorithm>

namespace cranberryreel::link
{

/// When to dial one peer next: at once after a loss, then with growing pauses. Owned by the peer's link.
class DialSchedule
{
public:
    /// `staggered` for the VM with the higher name, which leaves the first try to the other end.
    DialSchedule(const LinkTimings &linkTimings, bool staggered)
        : timings(linkTimings)
        , headStart(staggered ? linkTimings.dialStagger : std::chrono::milliseconds(0))
        , pause(linkTimings.firstRedial)
    {
    }

    void linkLost(base::SteadyTime now)
    {
        this->pause = this->timings.firstRedial;
        this->due = now + this->headStart;
    }

    void dialFailed(base::SteadyTime now)
    {
        this->due = now + this->pause + this->headStart;
        this->pause = std::min(2 * this->pause, this->timings.longestRedial);
    }

    base::SteadyTime nextDial() const
    {
        return this->due;
    }

private:
    LinkTimings timings;
    std::chrono::milliseconds headStart;
    std::chrono::milliseconds pause;
    base::SteadyTime due{};
};

} // namespace cranberryreel::link
