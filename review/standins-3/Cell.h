#pragma once

#include "Record.h"
#include "http/Client.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review
{

/// The system under test: cranberryreel-platformd processes of the deploy build, each on its own loopback address, with the settings of deploy/settings.ini.
/// Kills what still runs and deletes its folder when destroyed. Used by the main thread of a case only.
class Cell
{
public:
    /// Writes the settings and starts `cores` VMs with a disk, of which the first three are the seeds, and `edges` entry VMs.
    Cell(Record &caseRecord, int cores, int edges);
    ~Cell();
    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    const std::vector<std::string> &cores() const
    {
        return this->coreVms;
    }

    const std::vector<std::string> &edges() const
    {
        return this->edgeVms;
    }

    /// The control addresses of all VMs that serve it.
    std::vector<std::string> controls() const;
    std::string control(const std::string &vm) const;
    std::string frontend(const std::string &vm) const;

    void start(const std::string &vm);
    void signal(const std::string &vm, int number);

    /// Kills the process and waits for its end.
    void kill(const std::string &vm);

    /// Deletes the disk of a VM that is down.
    void wipe(const std::string &vm);

    /// Starts an empty VM with a disk at a new address, in place of a VM that is gone for good. Returns its address.
    std::string replace(const std::string &vm);

    /// Sends the configuration once, to the next VM that serves control. Returns whether it was acknowledged.
    bool sendConfiguration(const std::string &body);

    /// Sends the configuration as the operator does, until a VM acknowledges it.
    bool putConfiguration(const std::string &body);

    /// One request of a client.
    cranberryreel::http::ClientResponse request(const std::string &edge, const std::string &method, const std::string &path, const std::string &body = {});

    /// Hands a job in, at one entry VM after the other, until it is accepted.
    bool submit(const std::string &path, const std::string &body);

    /// The state that a GET shows; empty without a response.
    std::string state(const std::string &path);

    cranberryreel::http::Client &http()
    {
        return this->client;
    }

private:
    struct Vm {
        std::string zone;
        bool hasDisk = false;
        bool firstStart = true;
        pid_t process = 0;
    };

    void writeSettings(const std::string &vm);
    std::string fileOf(const std::string &vm, const char *suffix) const;

    Record &record;
    std::filesystem::path folder;
    cranberryreel::http::Client client;
    std::uint16_t basePort;
    std::vector<std::string> seedVms;
    std::vector<std::string> coreVms;
    std::vector<std::string> edgeVms;
    std::map<std::string, Vm> vms;
    std::size_t nextEdge = 0;
    std::size_t nextCore = 0;
};

/// An address of the loopback network that other cases that run at the same time do not use.
std::string loopbackAddress(int number);

/// The zone of the machine with this number; a small deployment has four.
std::string zoneOf(int number);

/// Whether the disruption of the case is wanted; TROUBLE=0 turns it off.
bool troubleWanted();

} // namespace review
