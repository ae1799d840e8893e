#pragma once

#include "link/LinkTimings.h"

#include "cranberryreel/base/Clock.h"

#include <algorithm>

namespace cranberryreel::link
{

/// Decides when to dial a peer next: at once after the loss of a link, then with exponentially growing pauses. Owned by the peer's link; I/O thread only.
class DialSchedule
{
public:
    /// `staggered` is true for the VM with the higher name, which delays its dials so that the other end dials first.
    DialSchedule(const LinkTimings &linkTimings, bool staggered)
        : timings(linkTimings)
        , staggerDelay(staggered ? linkTimings.dialStagger : std::chrono::milliseconds(0))
        , pause(linkTimings.initialRedialPause)
    {
    }

    void linkLost(base::SteadyTime now)
    {
        this->pause = this->timings.initialRedialPause;
        this->due = now + this->staggerDelay;
    }

    void dialFailed(base::SteadyTime now)
    {
        this->due = now + this->pause + this->staggerDelay;
        this->pause = std::min(2 * this->pause, this->timings.maxRedialPause);
    }

    base::SteadyTime nextDial() const
    {
        return this->due;
    }

private:
    LinkTimings timings;
    std::chrono::milliseconds staggerDelay;
    std::chrono::milliseconds pause;
    base::SteadyTime due{};
};

} // namespace cranberryreel::link
