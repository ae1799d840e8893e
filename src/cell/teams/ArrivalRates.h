#pragma once

#include "cell/teams/Amounts.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace cranberryreel::cell::teams
{

/// The rate at which admitted work arrives, by service and queue priority: it takes the capacity that work of a later place in the order waits for. Work beyond
/// its team's rate is left out. Load pattern: at 0.95 of the capacity, a backlog that a burst of 4 s leaves behind is worked off at a twentieth of the
/// service's speed only. So that a burst is not taken for the usual load, the smaller of a short and a long mean counts. Not thread-safe; used on the
/// scheduler's thread only. Owned by the AdmissionControl, for one leader term.
class ArrivalRates
{
public:
    void record(const std::string &service, int priority, const Amounts &work, base::SteadyTime now);

    /// Work that arrives per millisecond, by queue priority.
    std::map<int, Amounts> ratesOf(const std::string &service, base::SteadyTime now) const;

private:
    /// Work, with weights that fall with its age.
    struct Mean {
        Amounts work;
        double time = 0; ///< Milliseconds since the first arrival, with the same weights.
        base::SteadyTime at{};

        void decay(std::chrono::milliseconds memory, base::SteadyTime now);
        double rate(std::size_t dimension) const;
    };

    struct Means {
        Mean brief;
        Mean lasting;
    };

    std::map<std::pair<std::string, int>, Means> means;
};

} // namespace cranberryreel::cell::teams
