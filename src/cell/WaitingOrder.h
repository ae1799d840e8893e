#pragma once

#include "cell/JobOutlook.h"
#include "cell/ReadySteps.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cranberryreel::cell
{

/// Puts waiting steps into the order in which they are served.
/// Load pattern: a burst of wide jobs leaves more work waiting than the cell can finish in time. In the order of arrival every job waits equally long, and in
/// the end all are late. So the queue's priority goes first, then jobs that can still end within their objective, then those that can end within three times
/// of it, then the rest; among equals the least work left goes first, which lets most jobs end, and then the older. Pure.
class WaitingOrder
{
public:
    /// `acceptedAt`: by job; a job that is not in it counts as accepted now.
    WaitingOrder(const std::map<std::uint64_t, base::SteadyTime> &acceptedAt, base::SteadyTime now);

    void sort(std::vector<ReadyStep> &ready);

private:
    struct Rank {
        int priority = 0;
        Hope hope = Hope::InTime;
        std::int64_t workLeft = 0; ///< Thousandths of a core times milliseconds, as estimated.
        StepKey key;

        bool operator<(const Rank &other) const;
    };

    Rank rankOf(const ReadyStep &ready);

    const JobOutlook outlook;
};

} // namespace cranberryreel::cell
