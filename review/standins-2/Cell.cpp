#include "Cell.h"

#include "HttpCall.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

namespace cranberryreel::review
{

namespace
{

using namespace std::chrono_literals;

constexpr int Seeds = 3;
constexpr int Hosts = 250;
constexpr const char *Program = "target/bin/cranberryreel-platformd";
constexpr const char *Template = "deploy/settings.ini";

std::string loopbackAddress(int number)
{
    const int process = static_cast<int>(::getpid());
    return fmt::format("127.{}.{}.{}", 1 + process / Hosts % Hosts, 1 + process % Hosts, 1 + number);
}

/// A port that no socket uses on 127.0.0.1 or on all addresses, below those that the kernel gives to connections.
int freePort()
{
    constexpr int First = 10000;
    constexpr int Count = 20000;
    static int next = static_cast<int>(::getpid()) * 7 % Count;
    for (int tries = 0; tries < Count; ++tries) {
        const int port = First + next++ % Count;
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        ::close(descriptor);
        if (isFree) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace

Cell::Cell(std::string caseFolder, CellOptions cellOptions, Record &caseRecord)
    : folder(std::move(caseFolder))
    , options(std::move(cellOptions))
    , record(caseRecord)
    , frontendPort(freePort())
    , readinessPort(freePort())
    , controlPort(freePort())
    , metricsPort(freePort())
    , linkPort(freePort())
{
    const int cores = this->options.coreMachines;
    for (int i = 0; i < cores + this->options.entryMachines; ++i) {
        const bool core = i < cores;
        const std::string name = loopbackAddress(i);
        (core ? this->coreNames : this->entryNames).push_back(name);
        this->machines[name] = {fmt::format("zone-{}", 1 + i % cores), core, 0};
    }
    for (const auto &[name, machine] : this->machines) {
        this->start(name, true);
    }
}

Cell::~Cell()
{
    for (const auto &[name, machine] : this->machines) {
        if (machine.process > 0) {
            ::kill(machine.process, SIGKILL);
            ::waitpid(machine.process, nullptr, 0);
        }
    }
}

std::string Cell::frontend(const std::string &machine) const
{
    return fmt::format("{}:{}", machine, this->frontendPort);
}

std::string Cell::control(const std::string &machine) const
{
    return fmt::format("{}:{}", machine, this->controlPort);
}

std::string Cell::settingsOf(const std::string &name, const Machine &machine, bool bootstrap) const
{
    std::string seeds;
    for (int i = 0; i < Seeds; ++i) {
        seeds += (i == 0 ? "" : ",") + this->control(this->coreNames[static_cast<std::size_t>(i)]);
    }
    const std::string disk = fmt::format("{}/{}.disk", this->folder, name);
    if (machine.core) {
        std::filesystem::create_directories(disk);
    }
    const std::map<std::string, std::string> values{{"NodeName", name},
                                                    {"Ip", name},
                                                    {"Zone", machine.zone},
                                                    {"Listen.Frontend", machine.core ? "" : this->frontend(name)},
                                                    {"Listen.Readiness", machine.core ? "" : fmt::format("{}:{}", name, this->readinessPort)},
                                                    {"Listen.Control", machine.core ? this->control(name) : ""},
                                                    {"InternalPortRange.0", std::to_string(this->linkPort)},
                                                    {"Seeds", seeds},
                                                    {"FaultTolerance.Machines", "1"},
                                                    {"Bounds.CatchUpS", "4"},
                                                    {"Bootstrap", bootstrap ? "true" : "false"},
                                                    {"DataDir", machine.core ? disk : ""},
                                                    {"Recommendation", this->options.adviceAddress},
                                                    {"Bounds.HoldMaxMs", std::to_string(this->options.holdMaxMs)},
                                                    {"Bounds.StopTimeoutMs", "200"},
                                                    {"Bounds.GangTimeoutMs", "3000"},
                                                    {"Bounds.RestoreMs", "600"},
                                                    {"Bounds.RemoteFactor", "1.5"}};
    std::string settings = readFile(Template);
    for (const auto &[field, value] : values) {
        const std::string placeholder = "{{" + field + "}}";
        for (std::size_t at = settings.find(placeholder); at != std::string::npos; at = settings.find(placeholder)) {
            settings.replace(at, placeholder.size(), value);
        }
    }
    const std::string metrics = ":9464";
    return settings.replace(settings.find(metrics), metrics.size(), ":" + std::to_string(this->metricsPort));
}

void Cell::start(const std::string &name, bool bootstrap)
{
    Machine &machine = this->machines.at(name);
    const std::string settings = fmt::format("{}/{}.ini", this->folder, name);
    const std::string log = fmt::format("{}/{}.log", this->folder, name);
    std::ofstream(settings) << this->settingsOf(name, machine, bootstrap);
    ::setenv("CRANBERRYREEL_BOOT", settings.c_str(), 1);
    machine.process = ::fork();
    if (machine.process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl(Program, Program, static_cast<char *>(nullptr));
        ::_exit(127);
    }
    this->record.note("machine {} ({}, {}) started", name, machine.core ? "core" : "edge", machine.zone);
}

void Cell::signal(const std::string &name, int number)
{
    this->record.note("machine {} gets signal {}", name, number);
    ::kill(this->machines.at(name).process, number);
}

bool Cell::awaitEnd(const std::string &name, std::chrono::milliseconds limit)
{
    Machine &machine = this->machines.at(name);
    const auto until = Steady::now() + limit;
    while (::waitpid(machine.process, nullptr, WNOHANG) == 0) {
        if (Steady::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(5ms);
    }
    machine.process = 0;
    this->record.note("machine {} has ended", name);
    return true;
}

bool Cell::configure(const std::string &body)
{
    const auto until = Steady::now() + 15s;
    for (std::size_t i = 0; Steady::now() < until; ++i) {
        const std::string &machine = this->coreNames[i % this->coreNames.size()];
        const HttpAnswer answer = HttpCall{"POST", "http://" + this->control(machine) + "/api/config/put", body, {}, 1000ms}.send();
        this->record.note("operator sends the configuration to {}: {}", machine, answer.status);
        if (answer.status == 200) {
            return true;
        }
        std::this_thread::sleep_for(200ms);
    }
    return false;
}

} // namespace cranberryreel::review
