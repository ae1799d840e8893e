#pragma once

#include "../../tests/support/Process.h"
#include "HttpClient.h"
#include "Record.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::review
{

/// Size of a Cell. Each VM with a disk stands in a zone of its own: z1, z2 and so on; the entry VMs stand in the first zones.
struct CellSize {
    int diskVms = 4;
    int entryVms = 8;
};

/// Plays the platform and the operator of a small deployment: fills in the settings template of the deploy file, starts its programs on loopback addresses,
/// and sends the configuration. A VM is named by its address. Owned by the case.
class Cell
{
public:
    Cell(const CellSize &size, const std::string &workFolder, Record &caseRecord);

    /// VMs that serve control, in the order of their zones.
    std::vector<std::string> diskVms() const;
    const std::vector<std::string> &entryVms() const;
    const std::string &zoneOf(const std::string &vm) const;

    /// Frontend address of the entry VM.
    std::string frontend(int entryVm = 0) const;
    std::string control(const std::string &vm) const;

    /// Where the VMs look for the advice service; nothing listens there before a stand-in does.
    const std::string &adviceAddress() const;

    /// An address on which nothing listens yet, for a stand-in.
    std::string freeAddress();

    /// Sends the configuration until it is acknowledged, and waits until the entry VMs are ready. Returns false if that takes too long.
    bool configure(const std::string &document);

    /// Sends a signal to the VM's process and records it.
    void signal(const std::string &vm, int number, const char *what);

    /// The VM that leads, from the logs; empty when none does.
    std::string leader() const;

    /// Stops all processes.
    void stop();

private:
    struct Vm {
        std::string zone;
        bool hasDisk = false;
        std::unique_ptr<support::Process> process;
    };

    std::string nextAddress();
    void addVm(bool hasDisk, const std::string &zone);
    void start(const std::string &vm, const std::vector<std::string> &seeds);
    std::string settingsOf(const std::string &vm, const std::vector<std::string> &seeds) const;
    std::string logOf(const std::string &vm) const;

    Record &record;
    const std::string folder;
    const std::uint16_t frontendPort;
    const std::uint16_t readinessPort;
    const std::uint16_t controlPort;
    const std::uint16_t linkPort;
    const std::uint16_t metricsPort;
    int usedAddresses = 0;
    const std::string advice;
    std::vector<std::string> disks;
    std::vector<std::string> entries;
    std::map<std::string, Vm> vms;
};

} // namespace cranberryreel::review
