#pragma once

#include "cranberryreel/base/Clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cranberryreel::policy
{

/// Rate of events per second with exponential decay. A value type.
class RateMeter
{
public:
    explicit RateMeter(std::chrono::milliseconds averagedOver = std::chrono::seconds(10))
        : window(averagedOver)
    {
    }

    void add(base::SteadyTime now)
    {
        if (now - this->last > MaxGap) {
            this->steadyBegin = now;
        }
        this->weight = this->weightAt(now) + 1;
        this->last = now;
    }

    double perSecond(base::SteadyTime now) const
    {
        return this->weightAt(now) / std::chrono::duration<double>(this->window).count();
    }

    /// Like the above, averaged over `age` if that is shorter than the window.
    double perSecond(base::SteadyTime now, std::chrono::nanoseconds age) const
    {
        return this->weightAt(now) / std::chrono::duration<double>(std::min<std::chrono::nanoseconds>(this->window, age)).count();
    }

    /// Returns since when events have followed each other without a gap above MaxGap. A rate measured across such a gap does not reflect the present rate.
    base::SteadyTime steadySince() const
    {
        return this->steadyBegin;
    }

    /// Returns the number of events, weighted down exponentially by age.
    double weightedCount(base::SteadyTime now) const
    {
        return this->weightAt(now);
    }

private:
    static constexpr std::chrono::milliseconds MaxGap{500};

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
