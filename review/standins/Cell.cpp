#include "Cell.h"

#include "Sockets.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>
#include <thread>

#include <unistd.h>

namespace cranberryreel::review
{

namespace
{

using std::chrono::milliseconds;

constexpr const char *Program = "target/bin/cranberryreel-platformd";
constexpr const char *SettingsVariable = "CRANBERRYREEL_BOOT";
constexpr const char *Template = "deploy/settings.ini";
constexpr std::size_t SeedCount = 3;
constexpr milliseconds ConfigureLimit{20000};
constexpr milliseconds RetryPause{200};
constexpr milliseconds CallLimit{1000};
constexpr int HostsPerOctet = 250;

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size()) {
        text.replace(at, from.size(), to);
    }
}

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string joined(const std::vector<std::string> &parts)
{
    std::string list;
    for (const std::string &part : parts) {
        list += (list.empty() ? "" : ",") + part;
    }
    return list;
}

} // namespace

Cell::Cell(const CellSize &size, const std::string &workFolder, Record &caseRecord)
    : record(caseRecord)
    , folder(workFolder)
    , frontendPort(freePort())
    , readinessPort(freePort())
    , controlPort(freePort())
    , linkPort(freePort())
    , metricsPort(freePort())
    , advice(this->freeAddress())
{
    for (int i = 0; i < size.diskVms; ++i) {
        this->addVm(true, "z" + std::to_string(i + 1));
    }
    for (int i = 0; i < size.entryVms; ++i) {
        this->addVm(false, "z" + std::to_string(i % size.diskVms + 1));
    }
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < this->disks.size() && i < SeedCount; ++i) {
        seeds.push_back(this->control(this->disks[i]));
    }
    for (const auto &[vm, state] : this->vms) {
        this->start(vm, seeds);
    }
}

std::vector<std::string> Cell::diskVms() const
{
    return this->disks;
}

const std::vector<std::string> &Cell::entryVms() const
{
    return this->entries;
}

const std::string &Cell::zoneOf(const std::string &vm) const
{
    return this->vms.at(vm).zone;
}

std::string Cell::frontend(int entryVm) const
{
    return this->entries.at(static_cast<std::size_t>(entryVm)) + ":" + std::to_string(this->frontendPort);
}

std::string Cell::control(const std::string &vm) const
{
    return vm + ":" + std::to_string(this->controlPort);
}

const std::string &Cell::adviceAddress() const
{
    return this->advice;
}

std::string Cell::freeAddress()
{
    return this->nextAddress() + ":" + std::to_string(this->controlPort);
}

bool Cell::configure(const std::string &document)
{
    bool acknowledged = false;
    for (int i = 0; this->record.elapsed() < ConfigureLimit; ++i) {
        const std::string &vm = this->disks[static_cast<std::size_t>(i) % this->disks.size()];
        acknowledged = acknowledged || send({this->control(vm), "POST", "/api/config/put", document, "", CallLimit}).status == 200;
        bool ready = acknowledged;
        for (const std::string &entry : this->entries) {
            ready = ready && send({entry + ":" + std::to_string(this->readinessPort), "GET", "/api/ready", "", "", CallLimit}).status == 200;
        }
        if (ready && !this->leader().empty()) {
            this->record.write("operator: configuration acknowledged, entry VMs ready, leader " + this->leader());
            return true;
        }
        std::this_thread::sleep_for(RetryPause);
    }
    return false;
}

void Cell::signal(const std::string &vm, int number, const char *what)
{
    this->record.write(std::string("platform: ") + what + " " + vm + " (zone " + this->zoneOf(vm) + ")");
    this->vms.at(vm).process->signal(number);
}

std::string Cell::leader() const
{
    // The newest leadership by its term; a VM that lost it since has logged that.
    static const std::regex change("event=leadership_(acquired|lost) term=([0-9]+)");
    std::string leader;
    std::uint64_t newest = 0;
    for (const std::string &vm : this->disks) {
        const std::string log = readFile(this->logOf(vm));
        for (auto at = std::sregex_iterator(log.begin(), log.end(), change); at != std::sregex_iterator(); ++at) {
            const std::uint64_t term = std::strtoull((*at)[2].str().c_str(), nullptr, 10);
            if (term >= newest) {
                newest = term;
                leader = (*at)[1] == "acquired" ? vm : std::string();
            }
        }
    }
    return leader;
}

void Cell::stop()
{
    for (auto &[name, vm] : this->vms) {
        vm.process->signal(SIGCONT);
        vm.process->kill();
    }
}

std::string Cell::nextAddress()
{
    const int process = static_cast<int>(::getpid());
    const int host = 1 + this->usedAddresses++ % HostsPerOctet;
    return "127." + std::to_string(1 + process / HostsPerOctet % HostsPerOctet) + "." + std::to_string(1 + process % HostsPerOctet) + "."
        + std::to_string(host);
}

void Cell::addVm(bool hasDisk, const std::string &zone)
{
    const std::string name = this->nextAddress();
    Vm &vm = this->vms[name];
    vm.zone = zone;
    vm.hasDisk = hasDisk;
    (hasDisk ? this->disks : this->entries).push_back(name);
}

void Cell::start(const std::string &vm, const std::vector<std::string> &seeds)
{
    const std::string file = this->folder + "/" + vm + ".ini";
    std::ofstream(file) << this->settingsOf(vm, seeds);
    ::setenv(SettingsVariable, file.c_str(), 1); // The platform passes the path in the environment; the command has no arguments.
    this->vms.at(vm).process = std::make_unique<support::Process>(std::vector<std::string>{Program}, this->logOf(vm));
    ::unsetenv(SettingsVariable);
}

std::string Cell::settingsOf(const std::string &vm, const std::vector<std::string> &seeds) const
{
    const Vm &own = this->vms.at(vm);
    const auto at = [&vm](bool serves, std::uint16_t port) { return serves ? vm + ":" + std::to_string(port) : std::string(); };
    const std::map<std::string, std::string> values{
        {"NodeName", own.zone + (own.hasDisk ? "-core" : "-edge")},
        {"Ip", vm},
        {"Zone", own.zone},
        {"Listen.Frontend", at(!own.hasDisk, this->frontendPort)},
        {"Listen.Readiness", at(!own.hasDisk, this->readinessPort)},
        {"Listen.Control", at(own.hasDisk, this->controlPort)},
        {"InternalPortRange.0", std::to_string(this->linkPort)},
        {"Seeds", joined(seeds)},
        {"FaultTolerance.Machines", "1"},
        {"Bootstrap", "true"},
        {"DataDir", own.hasDisk ? this->folder + "/" + vm + ".disk" : ""},
        {"Recommendation", this->advice},
        {"Bounds.CatchUpS", "4"},
        {"Bounds.HoldMaxMs", "6000"},
        {"Bounds.StopTimeoutMs", "200"},
        {"Bounds.GangTimeoutMs", "3000"},
        {"Bounds.RestoreMs", "600"},
        {"Bounds.RemoteFactor", "1.5"},
    };
    std::string text = readFile(Template);
    for (const auto &[name, value] : values) {
        replaceAll(text, "{{" + name + "}}", value);
    }
    // The template's fixed port of the metrics may be taken on this machine.
    replaceAll(text, vm + ":9464", vm + ":" + std::to_string(this->metricsPort));
    return text;
}

std::string Cell::logOf(const std::string &vm) const
{
    return this->folder + "/" + vm + ".log";
}

} // namespace cranberryreel::review
