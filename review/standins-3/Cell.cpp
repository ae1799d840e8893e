#include "Cell.h"

#include <absl/strings/str_replace.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

using cranberryreel::http::ClientRequest;
using cranberryreel::http::ClientResponse;

/// The command of deploy/system.toml, which starts in the repository's root.
constexpr const char *Program = "target/bin/cranberryreel-platformd";
constexpr std::size_t SeedCount = 3;
constexpr int ZoneCount = 4;
constexpr int PortsPerVm = 5;
enum PortOffset {
    CallersPort,
    ReadinessPort,
    ControlPort,
    MetricsPort,
    LinkPort
};

/// The first of a few ports in a row that are free on the first address; other cases that run at the same time use other addresses.
std::uint16_t freePorts()
{
    constexpr int First = 20000;
    constexpr int Last = 30000;
    const std::string address = loopbackAddress(0);
    for (int port = First + static_cast<int>(::getpid()) % 1000 * PortsPerVm; port < Last; port += PortsPerVm) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, address.c_str(), &name.sin_addr);
        const bool isFree = ::bind(socket, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) == 0;
        ::close(socket);
        if (isFree) {
            return static_cast<std::uint16_t>(port);
        }
    }
    return First;
}

} // namespace

std::string loopbackAddress(int number)
{
    constexpr int Hosts = 250;
    const int process = static_cast<int>(::getpid());
    return fmt::format("127.{}.{}.{}", 1 + process / Hosts % Hosts, 1 + process % Hosts, 1 + number % Hosts);
}

std::string zoneOf(int number)
{
    return fmt::format("zone-{}", 1 + number % ZoneCount);
}

bool troubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Cell::Cell(Record &caseRecord, int cores, int edges)
    : record(caseRecord)
    , basePort(freePorts())
{
    std::string name = (std::filesystem::temp_directory_path() / "cranberryreel-review-XXXXXX").string();
    this->folder = ::mkdtemp(name.data());
    for (int i = 0; i < cores; ++i) {
        this->coreVms.push_back(loopbackAddress(i));
        this->vms[this->coreVms.back()] = {zoneOf(i), true, true, 0};
    }
    for (int i = 0; i < edges; ++i) {
        this->edgeVms.push_back(loopbackAddress(cores + i));
        this->vms[this->edgeVms.back()] = {zoneOf(i), false, true, 0};
    }
    this->seedVms.assign(this->coreVms.begin(), this->coreVms.begin() + static_cast<std::ptrdiff_t>(std::min(SeedCount, this->coreVms.size())));
    for (const auto &[vm, state] : this->vms) {
        this->start(vm);
    }
}

Cell::~Cell()
{
    for (const auto &[vm, state] : this->vms) {
        this->kill(vm);
    }
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(this->folder, ignored);
    }
}

std::vector<std::string> Cell::controls() const
{
    std::vector<std::string> addresses;
    for (const std::string &vm : this->coreVms) {
        addresses.push_back(this->control(vm));
    }
    return addresses;
}

std::string Cell::control(const std::string &vm) const
{
    return fmt::format("{}:{}", vm, this->basePort + ControlPort);
}

std::string Cell::frontend(const std::string &vm) const
{
    return fmt::format("{}:{}", vm, this->basePort + CallersPort);
}

std::string Cell::fileOf(const std::string &vm, const char *suffix) const
{
    return (this->folder / (vm + suffix)).string();
}

/// Fills in deploy/settings.ini, as the platform does, for a small deployment.
void Cell::writeSettings(const std::string &vm)
{
    const Vm &state = this->vms.at(vm);
    std::string seeds;
    for (const std::string &seed : this->seedVms) {
        seeds += (seeds.empty() ? "" : ",") + this->control(seed);
    }
    const auto port = [this, &vm](PortOffset offset) { return fmt::format("{}:{}", vm, this->basePort + offset); };
    const std::map<std::string, std::string> values{{"{{Ip}}:9464", port(MetricsPort)},
                                                    {"{{NodeName}}", vm},
                                                    {"{{Ip}}", vm},
                                                    {"{{Zone}}", state.zone},
                                                    {"{{Listen.Frontend}}", state.hasDisk ? "" : port(CallersPort)},
                                                    {"{{Listen.Readiness}}", state.hasDisk ? "" : port(ReadinessPort)},
                                                    {"{{Listen.Control}}", state.hasDisk ? port(ControlPort) : ""},
                                                    {"{{InternalPortRange.0}}", std::to_string(this->basePort + LinkPort)},
                                                    {"{{Seeds}}", seeds},
                                                    {"{{FaultTolerance.Machines}}", "1"},
                                                    {"{{Bounds.CatchUpS}}", "4"},
                                                    {"{{Bootstrap}}", state.firstStart ? "true" : "false"},
                                                    {"{{DataDir}}", state.hasDisk ? this->fileOf(vm, ".disk") : ""},
                                                    {"{{Recommendation}}", ""},
                                                    {"{{Bounds.HoldMaxMs}}", "6000"},
                                                    {"{{Bounds.StopTimeoutMs}}", "200"},
                                                    {"{{Bounds.GangTimeoutMs}}", "3000"},
                                                    {"{{Bounds.RestoreMs}}", "600"},
                                                    {"{{Bounds.RemoteFactor}}", "1.5"}};
    std::ifstream file("deploy/settings.ini");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    for (auto each = values.rbegin(); each != values.rend(); ++each) {
        text = absl::StrReplaceAll(text, {{each->first, each->second}});
    }
    std::ofstream(this->fileOf(vm, ".ini"), std::ios::trunc) << text;
}

void Cell::start(const std::string &vm)
{
    this->writeSettings(vm);
    Vm &state = this->vms.at(vm);
    this->record.line(fmt::format("platform: starts {} (Bootstrap = {}{})", vm, state.firstStart, state.hasDisk ? ", serves control" : ""));
    state.firstStart = false;
    const std::string settings = this->fileOf(vm, ".ini");
    const std::string log = this->fileOf(vm, ".log");
    const pid_t parent = ::getpid();
    state.process = ::fork();
    if (state.process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::setenv("CRANBERRYREEL_BOOT", settings.c_str(), 1);
        if (::getppid() == parent) {
            ::execl(Program, Program, static_cast<char *>(nullptr));
        }
        ::_exit(2);
    }
}

void Cell::signal(const std::string &vm, int number)
{
    this->record.line(fmt::format("platform: signal {} to {}", number, vm));
    ::kill(this->vms.at(vm).process, number);
}

void Cell::kill(const std::string &vm)
{
    Vm &state = this->vms.at(vm);
    if (state.process > 0) {
        this->record.line("platform: kills " + vm);
        ::kill(state.process, SIGKILL);
        ::waitpid(state.process, nullptr, 0);
        state.process = 0;
    }
}

void Cell::wipe(const std::string &vm)
{
    this->record.line("platform: the disk of " + vm + " is lost");
    std::filesystem::remove_all(this->fileOf(vm, ".disk"));
}

std::string Cell::replace(const std::string &vm)
{
    std::string successor = loopbackAddress(static_cast<int>(this->vms.size()));
    this->vms[successor] = {this->vms.at(vm).zone, true, false, 0};
    std::replace(this->coreVms.begin(), this->coreVms.end(), vm, successor);
    this->start(successor);
    return successor;
}

bool Cell::sendConfiguration(const std::string &body)
{
    ClientRequest request;
    request.method = "POST";
    request.host = this->control(this->coreVms[this->nextCore++ % this->coreVms.size()]);
    request.target = "/api/config/put";
    request.body = body;
    request.limit = std::chrono::seconds(1);
    const ClientResponse response = this->client.callAndWait(request);
    this->record.line(fmt::format("operator: config/put to {} -> {}", request.host, response.status));
    return response.status == 200;
}

bool Cell::putConfiguration(const std::string &body)
{
    constexpr std::chrono::seconds Limit{30};
    const auto until = this->record.elapsed() + Limit;
    while (this->record.elapsed() < until) {
        if (this->sendConfiguration(body)) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    return false;
}

ClientResponse Cell::request(const std::string &edge, const std::string &method, const std::string &path, const std::string &body)
{
    ClientRequest request;
    request.method = method;
    request.host = this->frontend(edge);
    request.target = path;
    request.body = body;
    request.limit = std::chrono::seconds(3);
    request.headers = {{"Host", "berths.example"}, {"Deadline-Ms", "3000"}};
    return this->client.callAndWait(std::move(request));
}

bool Cell::submit(const std::string &path, const std::string &body)
{
    constexpr int Tries = 5;
    for (int i = 0; i < Tries; ++i) {
        const ClientResponse response = this->request(this->edgeVms[this->nextEdge++ % this->edgeVms.size()], "POST", path, body);
        this->record.line(fmt::format("client: POST {} -> {}", path, response.status));
        if (response.status == 200) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    return false;
}

std::string Cell::state(const std::string &path)
{
    const ClientResponse response = this->request(this->edgeVms[this->nextEdge++ % this->edgeVms.size()], "GET", path);
    const nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
    return response.status == 200 && json.is_object() ? json.value("State", "") : fmt::format("status {}", response.status);
}

} // namespace review
