#pragma once

#include "soak/DiskProbe.h"
#include "soak/SoakPlan.h"
#include "soak/SoakReport.h"
#include "soak/SoakTraffic.h"
#include "soak/SoakUpstreams.h"
#include "support/PlatformCell.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::soak
{

/// Runs the rounds of a plan against a cell and checks its processes. One thread.
class Soak
{
public:
    explicit Soak(std::uint64_t randomSeed);

    /// Runs rounds until the time has passed or a promise was broken. Returns true if all promises were kept.
    bool run(std::chrono::seconds time);

private:
    using SteadyTime = std::chrono::steady_clock::time_point;

    /// What a VM's process is expected to do.
    struct Expected {
        bool up = true;
        bool removed = false;
        bool frozen = false;
        bool stopping = false;
        SteadyTime stopLimit;
    };

    void runRound(const SoakRound &round);
    void runLoss(const std::vector<SoakStep> &steps);
    void awaitLastingTasks(SteadyTime calmSince);
    void apply(const SoakStep &step);
    void close(const SoakRound &round);
    void checkServes();
    void stopAll();
    void wait(SteadyTime until);
    void watch();
    void watchStop(const std::string &vm, Expected &expected);
    void kill(const std::string &vm);
    void start(const std::string &vm);
    void freeze(const std::string &vm);
    void thaw(const std::string &vm);
    void terminate(const std::string &vm);
    void reload(const std::string &vm);
    void fillDisk(const std::string &vm);
    void freeDisk(const std::string &vm);
    void wipe(const std::string &vm);
    void remove(const std::string &vm);
    void succeed(const std::string &vm);
    void cutPower(const std::string &vm); ///< Of all VMs with a disk.
    void restorePower(const std::string &vm); ///< Of the VMs that the last loss of power took down.
    void drain(const std::string &upstream);
    void vanish(const std::string &upstream);
    std::string vmAt(const SoakStep &step) const;

    const std::uint64_t seed;
    SoakReport report;
    SoakPlan plan;
    support::PlatformCell cell;
    SoakTraffic traffic;
    SoakUpstreams upstreams;
    DiskProbe diskProbe;
    std::map<std::string, Expected> vms;
    std::vector<std::string> withoutPower;
};

} // namespace cranberryreel::soak
