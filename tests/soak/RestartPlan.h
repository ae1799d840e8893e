#pragma once

#include "soak/FaultKind.h"
#include "soak/SoakStep.h"
#include "support/PlatformCellOptions.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace cranberryreel::soak
{

/// Draws series of restarts of upstreams, each followed by a cut, that overlap with faults of the VM that leads, and the layout for them, from a seed.
class RestartPlan
{
public:
    explicit RestartPlan(std::uint64_t seed);

    const support::PlatformCellOptions &layout() const;
    int upstreamCount() const;

    /// One series, by time.
    std::vector<SoakStep> nextSeries();

private:
    std::size_t below(std::size_t bound);
    std::chrono::milliseconds between(std::chrono::milliseconds shortest, std::chrono::milliseconds longest);
    void addRestarts(std::vector<SoakStep> &steps, std::size_t place, bool isCut, std::chrono::milliseconds faultTime);
    void addLeaderFaults(std::vector<SoakStep> &steps, std::chrono::milliseconds time);

    std::mt19937_64 random;
    support::PlatformCellOptions options;
    int upstreams = 4;
    std::size_t nextFault; ///< The kinds take turns, so that a short soak has all.
};

} // namespace cranberryreel::soak
