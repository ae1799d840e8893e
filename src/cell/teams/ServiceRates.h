#pragma once

#include <chrono>
#include <map>
#include <string>

namespace cranberryreel::cell::teams
{

/// The measured rate at which capacity comes free, by service: estimated time of the tasks that were done lately, over the time that they took. Load pattern:
/// submitters' estimates are off by 0.5 to 0.9, and 3% of the tasks take 7 times as long, so that capacity comes free earlier or later than stated. The rate
/// does not depend on how full the service is. Not thread-safe; used on the scheduler's thread only. Lives for one leader term.
class ServiceRates
{
public:
    /// Ignores tasks without an estimate.
    void recordCompletion(const std::string &service, std::chrono::milliseconds estimate, std::chrono::milliseconds duration);

    /// 1 without measurements.
    double rateOf(const std::string &service) const;

private:
    struct Times {
        double estimated = 0;
        double taken = 0;
    };

    std::map<std::string, Times> services;
};

} // namespace cranberryreel::cell::teams
