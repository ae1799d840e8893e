#pragma once

#include "cranberryreel/base/Clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cranberryreel::policy
{

/// Events a second over the last while, older ones fading. A value.
class RateMeter
{
public:
    explicit RateMeter(std::chrono::milliseconds averagedOver = std::chrono::seconds(10))
        : window(averagedOver)
    {
    }

    void add(base::SteadyTime now)
    {
        if (now - this->last > LongestGap) {
            this->steadyBegin = now;
        }
        this->weight = this->weightAt(now) + 1;
        this->last = now;
    }

    double perSecond(base::SteadyTime now) const
    {
        return this->weightAt(now) / std::chrono::duration<double>(this->window).count();
    }

    /// The same where only the last `age` counts, if that is shorter than the while.
    double perSecond(base::SteadyTime now, std::chrono::nanoseconds age) const
    {
        return this->weightAt(now) / std::chrono::duration<double>(std::min<std::chrono::nanoseconds>(this->window, age)).count();
    }

    /// Since when events have followed each other without a long gap. Before it, something stood still, and a rate across it says nothing of the pace now.
    base::SteadyTime steadySince() const
    {
        return this->steadyBegin;
    }

    /// Events of the last while, older ones for less.
    double recent(base::SteadyTime now) const
    {
        return this->weightAt(now);
    }

private:
    static constexpr std::chrono::milliseconds LongestGap{500};

    double weightAt(base::SteadyTime now) const
    {
        const std::chrono::duration<double> age = now - this->last;
        return this->weight * std::exp(-age.count() / std::chrono::duration<double>(this->window).count());
    }

    std::chrono::milliseconds window;
    double weight = 0;
    base::SteadyTime last;
    base::SteadyTime steadyBegin;
};

} // namespace cranberryreel::policy
