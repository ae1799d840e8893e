#pragma once

#include "http/Client.h"
#include "support/PlatformCellOptions.h"
#include "support/Process.h"
#include "support/TemporaryFolder.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::support
{

/// Runs the VMs of one cell as cranberryreel-platformd processes, each on its own loopback address, and injects faults from outside. A VM is named by its
/// address. Processes must be started by a thread that outlives them. Owned by a test.
class PlatformCell
{
public:
    /// Starts all VMs.
    explicit PlatformCell(const PlatformCellOptions &cellOptions = {});
    ~PlatformCell();
    PlatformCell(const PlatformCell &) = delete;
    PlatformCell &operator=(const PlatformCell &) = delete;

    /// VMs with a disk; a replaced VM's place is taken by its successor.
    const std::vector<std::string> &diskVms() const;
    const std::vector<std::string> &entryVms() const;

    /// Starts a VM that is down. Only the seeds' first process forms the cell.
    void start(const std::string &vm);

    /// Kills the process at once and waits until it has ended.
    void kill(const std::string &vm);

    void signal(const std::string &vm, int number);

    /// Deletes the data folder of a VM that is down.
    void wipe(const std::string &vm);

    /// Kills a VM for good and starts its successor, which has a new address and an empty disk. Returns the successor.
    std::string replace(const std::string &vm);

    /// Makes all writes of the VM's processes to files fail, or lets them succeed again.
    void setDiskFull(const std::string &vm, bool full);

    bool running(const std::string &vm);
    std::optional<int> exitStatus(const std::string &vm);

    /// Path of the file that holds the output of all processes of the VM.
    std::string logOf(const std::string &vm) const;

    /// Keeps the folder with logs, settings and disks after the test. Returns its path.
    const std::string &keepFolder();

    std::string callers(const std::string &vm) const;
    std::string readiness(const std::string &vm) const;
    std::string control(const std::string &vm) const;
    std::string metrics(const std::string &vm) const;

    /// A configuration with two queues; the second one, with path prefix /l/ and service "l", is for tasks that last.
    static std::string configuration(int version);

    /// These calls use connections that stay open, and return the status of the response, 0 if there was none.
    long get(const std::string &address, const std::string &target);
    long put(const std::string &vm, const std::string &body);
    long putConfig(const std::string &vm, int version);
    long submit(const std::string &entryVm, const std::string &job);
    /// Submits a job whose tasks run until it is cancelled, at most two of them on one upstream.
    long submitLasting(const std::string &entryVm, const std::string &job, int tasks);
    /// Submits a job to a path, and asks for the state of the one there; empty if there is no answer.
    long submitJob(const std::string &entryVm, const std::string &path, const std::string &body);
    std::string jobState(const std::string &entryVm, const std::string &path);
    /// Sends an upstream's announcement.
    long announce(const std::string &vm, const std::string &upstream, const std::string &body);
    long stateOf(const std::string &entryVm, const std::string &job);

    /// The version that the VM returns; empty if it returns none.
    std::optional<int> getConfig(const std::string &vm);

private:
    struct Vm {
        bool hasDisk = false;
        bool diskFull = false;
        bool formsCell = false; ///< The next process starts the cell for the first time.
        std::unique_ptr<Process> logReader; ///< Copies the output to the log file, which therefore does not depend on the process's limits.
        std::unique_ptr<Process> process;
    };

    static void limitWrites(const Vm &vm);
    std::string addVm(bool hasDisk, bool formsCell);
    void writeSettings(const std::string &name, const Vm &vm) const;
    std::string seeds() const;
    std::string settingsFile(const std::string &vm) const;
    std::string diskOf(const std::string &vm) const;
    http::ClientResponse call(const std::string &method, const std::string &address, const std::string &target, const std::string &body);

    const PlatformCellOptions options;
    TemporaryFolder folder;
    http::Client client;
    const std::uint16_t callersPort;
    const std::uint16_t readinessPort;
    const std::uint16_t controlPort;
    const std::uint16_t metricsPort;
    const std::uint16_t linkPort;
    int addedVms = 0;
    std::vector<std::string> disks;
    std::vector<std::string> entries;
    std::map<std::string, Vm> vms;
};

} // namespace cranberryreel::support
