#pragma once

#include "soak/SoakReport.h"
#include "soak/SoakStep.h"
#include "support/PlatformCell.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::soak
{

/// The processes of a cell's VMs, the faults injected into them, and the checks of how they end. Owned by a soak and used by its thread.
class SoakVms
{
public:
    SoakVms(support::PlatformCell &platformCell, SoakReport &soakReport);

    /// Injects a fault. A loss of power is for all VMs with a disk.
    void apply(Action action, const std::string &vm);

    /// Checks processes that should run or stop, and starts again those that have ended.
    void watch();

    /// Starts all VMs that are down.
    void startAll();

    /// Stops all processes and checks that they end in time.
    void stopAll();

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

    support::PlatformCell &cell;
    SoakReport &report;
    std::map<std::string, Expected> vms;
    std::vector<std::string> withoutPower;
};

} // namespace cranberryreel::soak
