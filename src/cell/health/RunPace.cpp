#include "cell/health/RunPace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryreel::cell::health
{

namespace
{

using std::chrono::milliseconds;

/// Reports are taken over at least this long, since renewals deliver them up to tens of milliseconds late.
constexpr milliseconds MinInterval{300};
/// Percentages are whole numbers, so less progress than this is too coarse to show a pace...
constexpr int MinPercent = 4;
/// ... unless there was no more within this time.
constexpr milliseconds MaxInterval{1000};
/// Taken as the progress of a run that made none.
constexpr double LeastPercent = 0.5;

double logTotalTime(milliseconds time, double percent)
{
    constexpr double WholeRun = 100;
    const double counted = std::max(1.0, static_cast<double>(time.count()));
    return std::log(counted * WholeRun / std::max(percent, LeastPercent));
}

} // namespace

std::optional<double> RunPace::recordProgress(int percent, milliseconds elapsed)
{
    if (!this->last || percent < this->last->percent) {
        this->last = Report{percent, elapsed};
        this->previous.reset();
        return std::nullopt;
    }
    const milliseconds interval = elapsed - this->last->elapsed;
    const int progress = percent - this->last->percent;
    if (interval < MinInterval || (progress < MinPercent && interval < MaxInterval)) {
        return std::nullopt;
    }
    this->previous = std::exchange(this->last, Report{percent, elapsed});
    return logTotalTime(interval, progress);
}

double RunPace::recordCompletion(milliseconds duration) const
{
    constexpr int Done = 100;
    const Report since = this->previous.value_or(Report());
    return logTotalTime(duration - since.elapsed, Done - since.percent);
}

} // namespace cranberryreel::cell::health
