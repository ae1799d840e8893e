#pragma once

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace cranberryreel::cell::planning
{

/// The processor time that urgent work of each service used of late: a maximum that decays. Load pattern: urgent work comes in bursts of about twice its mean
/// that last some seconds and return; a fixed share for them would be too small for one service and stand idle in another. Not thread-safe; used on the
/// scheduler's thread. Owned by the CellTerm, since plans are made anew; a new leader starts from the runs that its log records.
class UrgentDemand
{
public:
    /// Records what urgent work uses at `now`, in thousandths of a core.
    void record(const std::string &service, std::int64_t cpuMillis, base::SteadyTime now);

    /// The decayed maximum at `now`, in thousandths of a core.
    std::int64_t peak(const std::string &service, base::SteadyTime now) const;

private:
    struct Peak {
        std::int64_t cpuMillis = 0;
        base::SteadyTime at{};
    };

    std::map<std::string, Peak> peaks;
};

} // namespace cranberryreel::cell::planning
