#include "cell/RunProgress.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

constexpr int AllPercent = 100;

} // namespace

void RunProgress::record(int percentDone, base::SteadyTime now)
{
    if (this->firstPercent < 0) {
        this->firstPercent = percentDone;
        this->firstReport = now;
    }
    if (percentDone != this->lastPercent) {
        this->lastPercent = percentDone;
        this->lastChange = now;
    }
}

std::chrono::milliseconds RunProgress::remainingTime(std::chrono::milliseconds estimate, base::SteadyTime now) const
{
    using Fractional = std::chrono::duration<double, std::milli>;
    if (this->lastPercent < 0) {
        return estimate;
    }
    const bool speedSeen = this->lastPercent > this->firstPercent && this->lastChange > this->firstReport;
    const Fractional timePerPercent =
        speedSeen ? Fractional(this->lastChange - this->firstReport) / (this->lastPercent - this->firstPercent) : Fractional(estimate) / AllPercent;
    const Fractional remaining = timePerPercent * (AllPercent - this->lastPercent) - Fractional(now - this->lastChange);
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(remaining), std::chrono::milliseconds(0));
}

} // namespace cranberryreel::cell
