#pragma once

#include "Record.h"

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace cranberryreel::review
{

/// How many machines a deployment has, and its advice service.
struct CellOptions {
    int coreMachines = 4;
    int entryMachines = 1;
    std::string adviceAddress; ///< "IP:PORT"; empty for none.
    int holdMaxMs = 6000;
};

/// The machines of a small deployment, each with one process of the deploy file's program on a loopback address of its own, and settings filled in from the
/// project's template as the platform does. As many zones as core machines, one in each; entry machines in turn. Ends all its processes.
class Cell
{
public:
    Cell(std::string folder, CellOptions cellOptions, Record &caseRecord);
    ~Cell();
    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    const std::vector<std::string> &cores() const
    {
        return this->coreNames;
    }

    const std::vector<std::string> &entries() const
    {
        return this->entryNames;
    }

    std::string frontend(const std::string &machine) const;
    std::string control(const std::string &machine) const;

    void start(const std::string &machine, bool bootstrap);
    void signal(const std::string &machine, int number);

    /// Waits until the process has ended; false if it has not by the limit.
    bool awaitEnd(const std::string &machine, std::chrono::milliseconds limit);

    /// Sends the configuration until it is acknowledged; false if it never was.
    bool configure(const std::string &body);

private:
    struct Machine {
        std::string zone;
        bool core = false;
        pid_t process = 0;
    };

    std::string settingsOf(const std::string &name, const Machine &machine, bool bootstrap) const;

    const std::string folder;
    const CellOptions options;
    Record &record;
    std::vector<std::string> coreNames;
    std::vector<std::string> entryNames;
    std::map<std::string, Machine> machines; ///< By address.
    int frontendPort = 0;
    int readinessPort = 0;
    int controlPort = 0;
    int metricsPort = 0;
    int linkPort = 0;
};

} // namespace cranberryreel::review
