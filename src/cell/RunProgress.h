#pragma once

#include "cranberryreel/base/Clock.h"

#include <chrono>

namespace cranberryreel::cell
{

/// What an upstream reported of a run's progress, and an estimate of the time that the run still needs. Estimates in job specifications are off by up to
/// half; the speed seen so far is closer. A plain value without I/O; part of a TrackedRun.
class RunProgress
{
public:
    /// Records a report: `percentDone` from 0 to 100.
    void record(int percentDone, base::SteadyTime now);

    /// Last reported progress; -1 before the first report.
    int percent() const
    {
        return this->lastPercent;
    }

    /// When the percentage last changed.
    base::SteadyTime changedAt() const
    {
        return this->lastChange;
    }

    /// Time until the run's end at the speed seen so far, or by `estimate` for the whole run while no speed has been seen; never negative.
    std::chrono::milliseconds remainingTime(std::chrono::milliseconds estimate, base::SteadyTime now) const;

private:
    int firstPercent = -1; ///< In the first report; a run that resumes from saved progress starts above 0.
    base::SteadyTime firstReport{};
    int lastPercent = -1;
    base::SteadyTime lastChange{};
};

} // namespace cranberryreel::cell
