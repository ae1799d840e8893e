#pragma once

#include "soak/DiskProbe.h"
#include "soak/GangJobs.h"
#include "soak/RestartPlan.h"
#include "soak/SoakKind.h"
#include "soak/SoakPlan.h"
#include "soak/SoakReport.h"
#include "soak/SoakTraffic.h"
#include "soak/SoakUpstreams.h"
#include "soak/SoakVms.h"
#include "support/PlatformCell.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::soak
{

/// Runs the faults of a plan against a cell and checks its promises. One thread.
class Soak
{
public:
    Soak(SoakKind soakKind, std::uint64_t randomSeed);

    /// Injects faults until the time has passed or a promise was broken. Returns true if all promises were kept.
    bool run(std::chrono::seconds time);

private:
    using SteadyTime = std::chrono::steady_clock::time_point;

    void runFaults();
    void runRound(const SoakRound &round);
    void runLoss(const std::vector<SoakStep> &steps);
    void runSeries(const std::vector<SoakStep> &steps);
    void awaitLastingTasks(SteadyTime calmSince, std::chrono::milliseconds limit);
    void checkLastingTasks(SteadyTime calmSince, std::chrono::milliseconds limit);
    void apply(const SoakStep &step);
    void close(const SoakRound &round);
    void checkServes();
    void wait(SteadyTime until);
    std::string target(const SoakStep &step);

    const SoakKind kind;
    const std::uint64_t seed;
    SoakReport report;
    SoakPlan plan;
    RestartPlan restartPlan;
    support::PlatformCell cell;
    SoakVms vms;
    SoakTraffic traffic;
    SoakUpstreams upstreams;
    GangJobs gangs;
    DiskProbe diskProbe;
    std::string leader; ///< The VM that the last fault of a leader hit.
};

} // namespace cranberryreel::soak
