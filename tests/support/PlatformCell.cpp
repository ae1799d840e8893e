#include "support/PlatformCell.h"

#include "support/Eventually.h"
#include "support/FreePort.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

namespace cranberryreel::support
{

namespace
{

constexpr std::size_t SeedCount = 3;
constexpr std::chrono::seconds CallLimit{2};

/// Returns a loopback address that no test process running at the same time uses.
std::string loopbackAddress(int number)
{
    constexpr int Hosts = 250;
    const int process = static_cast<int>(::getpid());
    return fmt::format("127.{}.{}.{}", 1 + process / Hosts % Hosts, 1 + process % Hosts, 1 + number % Hosts);
}

} // namespace

PlatformCell::PlatformCell(const PlatformCellOptions &cellOptions)
    : options(cellOptions)
    , callersPort(freePort())
    , readinessPort(freePort())
    , controlPort(freePort())
    , metricsPort(freePort())
    , linkPort(freePort())
{
    for (int i = 0; i < this->options.diskVms; ++i) {
        this->disks.push_back(this->addVm(true, i < static_cast<int>(SeedCount)));
    }
    for (int i = 0; i < this->options.entryVms; ++i) {
        this->entries.push_back(this->addVm(false, false));
    }
    for (const auto &[name, vm] : this->vms) {
        this->start(name);
    }
}

PlatformCell::~PlatformCell() = default;

const std::vector<std::string> &PlatformCell::diskVms() const
{
    return this->disks;
}

const std::vector<std::string> &PlatformCell::entryVms() const
{
    return this->entries;
}

void PlatformCell::start(const std::string &vm)
{
    Vm &started = this->vms.at(vm);
    this->writeSettings(vm, started);
    started.formsCell = false;
    const std::string pipe = this->settingsFile(vm) + ".pipe";
    ::mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR);
    started.process.reset();
    if (started.logReader) {
        eventually([&started] { return !started.logReader->running(); }, std::chrono::seconds(1));
    }
    started.logReader = std::make_unique<Process>(std::vector<std::string>{"/bin/cat", pipe}, this->logOf(vm));
    const std::vector<std::string> command{std::string(CRANBERRYREEL_BINARY_DIR) + "/cranberryreel-platformd", "--settings", this->settingsFile(vm)};
    started.process = std::make_unique<Process>(command, pipe);
    if (started.diskFull) {
        limitWrites(started);
    }
}

void PlatformCell::kill(const std::string &vm)
{
    this->vms.at(vm).process->kill();
}

void PlatformCell::signal(const std::string &vm, int number)
{
    this->vms.at(vm).process->signal(number);
}

void PlatformCell::wipe(const std::string &vm)
{
    std::filesystem::remove_all(this->diskOf(vm));
}

std::string PlatformCell::replace(const std::string &vm)
{
    this->kill(vm);
    std::string successor = this->addVm(true, false);
    std::replace(this->disks.begin(), this->disks.end(), vm, successor);
    this->start(successor);
    return successor;
}

void PlatformCell::setDiskFull(const std::string &vm, bool full)
{
    this->vms.at(vm).diskFull = full;
    limitWrites(this->vms.at(vm));
}

bool PlatformCell::running(const std::string &vm)
{
    return this->vms.at(vm).process->running();
}

std::optional<int> PlatformCell::exitStatus(const std::string &vm)
{
    return this->vms.at(vm).process->exitStatus();
}

std::string PlatformCell::logOf(const std::string &vm) const
{
    return this->settingsFile(vm) + ".log";
}

const std::string &PlatformCell::keepFolder()
{
    this->folder.keep();
    return this->folder.name();
}

std::string PlatformCell::callers(const std::string &vm) const
{
    return fmt::format("{}:{}", vm, this->callersPort);
}

std::string PlatformCell::readiness(const std::string &vm) const
{
    return fmt::format("{}:{}", vm, this->readinessPort);
}

std::string PlatformCell::control(const std::string &vm) const
{
    return fmt::format("{}:{}", vm, this->controlPort);
}

std::string PlatformCell::metrics(const std::string &vm) const
{
    return fmt::format("{}:{}", vm, this->metricsPort);
}

std::string PlatformCell::configuration(int version)
{
    constexpr const char *AfterVersion =
        R"(,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Kind":"non_idempotent","TimeoutMs":3000,)"
        R"("TargetLatencyMs":250,"Priority":0,"Service":"s","MaxAttempts":2,"SlackFactor":1.5},)"
        R"({"Name":"l","Host":"h","PathPrefix":"/l/","Kind":"non_idempotent","TimeoutMs":3000,)"
        R"("TargetLatencyMs":250,"Priority":0,"Service":"l","MaxAttempts":2,"SlackFactor":1.5}],)"
        R"("Services":[{"Name":"s","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"AdmissionCheck":false,"Standby":false},)"
        R"({"Name":"l","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"AdmissionCheck":false,"Standby":false}],)"
        R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
    return R"({"Version":)" + std::to_string(version) + AfterVersion;
}

long PlatformCell::get(const std::string &address, const std::string &target)
{
    return this->call("GET", address, target, {}).status;
}

long PlatformCell::put(const std::string &vm, const std::string &body)
{
    return this->call("POST", this->control(vm), "/api/config/put", body).status;
}

long PlatformCell::announce(const std::string &vm, const std::string &upstream, const std::string &body)
{
    return this->call("POST", this->control(vm), "/api/instances/" + upstream + "/heartbeat", body).status;
}

long PlatformCell::putConfig(const std::string &vm, int version)
{
    return this->put(vm, configuration(version));
}

long PlatformCell::submit(const std::string &entryVm, const std::string &job)
{
    return this->call("POST", this->callers(entryVm), "/p/" + job, R"({"Spec":"x","Steps":[{"Count":1,"Cpu":100,"MemRequestMb":16,"EstimateMs":100}]})").status;
}

long PlatformCell::submitLasting(const std::string &entryVm, const std::string &job, int tasks)
{
    const std::string body =
        fmt::format(R"({{"Spec":"x","Steps":[{{"Count":{},"Cpu":1000,"MemRequestMb":16,"EstimateMs":1000,"AntiAffinity":2,"LongRunning":true}}]}})", tasks);
    return this->call("POST", this->callers(entryVm), "/l/" + job, body).status;
}

long PlatformCell::submitJob(const std::string &entryVm, const std::string &path, const std::string &body)
{
    return this->call("POST", this->callers(entryVm), path, body).status;
}

std::string PlatformCell::jobState(const std::string &entryVm, const std::string &path)
{
    const http::ClientResponse response = this->call("GET", this->callers(entryVm), path, {});
    const nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
    return response.status == 200 && json.is_object() ? json.value("State", "") : "";
}

long PlatformCell::stateOf(const std::string &entryVm, const std::string &job)
{
    return this->get(this->callers(entryVm), "/p/" + job);
}

std::optional<int> PlatformCell::getConfig(const std::string &vm)
{
    const http::ClientResponse response = this->call("GET", this->control(vm), "/api/config/get", {});
    const nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != 200 || !json.is_object() || !json.contains("Version")) {
        return std::nullopt;
    }
    return json["Version"].get<int>();
}

void PlatformCell::limitWrites(const Vm &vm)
{
    rlimit limit{};
    ::getrlimit(RLIMIT_FSIZE, &limit);
    limit.rlim_cur = vm.diskFull ? 0 : limit.rlim_max;
    if (vm.process->running()) {
        ::prlimit(vm.process->id(), RLIMIT_FSIZE, &limit, nullptr);
    }
}

std::string PlatformCell::addVm(bool hasDisk, bool formsCell)
{
    std::string name = loopbackAddress(this->addedVms++);
    Vm &added = this->vms[name];
    added.hasDisk = hasDisk;
    added.formsCell = formsCell;
    return name;
}

void PlatformCell::writeSettings(const std::string &name, const Vm &vm) const
{
    std::ofstream(this->settingsFile(name)) << fmt::format(
        "[vm]\nname = {0}\naddress = {0}\nzone = z\n\n[listen]\ncallers = {1}\nreadiness = {2}\ncontrol = {3}\nmetrics = {4}\n\n"
        "[link]\nlisten = {0}:{5}\nkey = 5f0c2f6a9e1b47d3a8c4410be72d9635\n\n"
        "[cell]\nseeds = {6}\ntolerate = {7}\nfirst_start = {8}\ndata_folder = {9}\n\n"
        "[advice]\nservice = 127.0.0.1:1\n\n"
        "[times]\nlease_max_ms = {10}\nstop_limit_ms = 200\ngang_wait_ms = 3000\nrestore_ms = 600\nfar_rack_factor = 1.5\n",
        name,
        vm.hasDisk ? "" : this->callers(name),
        vm.hasDisk ? "" : this->readiness(name),
        vm.hasDisk ? this->control(name) : "",
        this->metrics(name),
        this->linkPort,
        this->seeds(),
        this->options.tolerate,
        vm.formsCell,
        vm.hasDisk ? this->diskOf(name) : "",
        this->options.leaseMax.count());
}

std::string PlatformCell::seeds() const
{
    std::string list;
    for (std::size_t i = 0; i < std::min(SeedCount, this->disks.size()); ++i) {
        list += (i == 0 ? "" : ",") + this->control(this->disks[i]);
    }
    return list;
}

std::string PlatformCell::settingsFile(const std::string &vm) const
{
    return fmt::format("{}/{}.ini", this->folder.name(), vm);
}

std::string PlatformCell::diskOf(const std::string &vm) const
{
    return fmt::format("{}/{}.disk", this->folder.name(), vm);
}

http::ClientResponse PlatformCell::call(const std::string &method, const std::string &address, const std::string &target, const std::string &body)
{
    http::ClientRequest request;
    request.method = method;
    request.host = address;
    request.target = target;
    request.body = body;
    request.limit = CallLimit;
    if ((target.rfind("/p/", 0) == 0 || target.rfind("/l/", 0) == 0) && target.size() > 3) {
        request.headers.emplace_back("Host", "h");
    }
    return this->client.callAndWait(std::move(request));
}

} // namespace cranberryreel::support
