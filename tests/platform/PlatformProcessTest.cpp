#include "http/Client.h"
#include "support/Eventually.h"
#include "support/FreePort.h"
#include "support/Process.h"
#include "support/TemporaryFolder.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

using namespace cranberryreel;
using namespace std::chrono_literals;

namespace
{

constexpr const char *Rules =
    R"({"Version":5,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Kind":"non_idempotent","TimeoutMs":3000,)"
    R"("TargetLatencyMs":250,"Priority":0,"Service":"s","MaxAttempts":2,"SlackFactor":1.5}],)"
    R"("Services":[{"Name":"s","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"AdmissionCheck":false,"Standby":false}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

/// Runs three seed VMs with disks and one entry VM as processes, each on its own loopback address.
class PlatformCell
{
public:
    PlatformCell()
    {
        for (int i = 1; i <= 3; ++i) {
            this->start(fmt::format("127.0.0.{}", 10 + i), this->folder.name() + fmt::format("/disk{}", i));
        }
        this->start(Entry, {});
    }

    long get(const std::string &address, const std::string &target)
    {
        http::ClientRequest request;
        request.method = "GET";
        request.host = address;
        request.target = target;
        request.limit = 1s;
        return this->client.callAndWait(std::move(request)).status;
    }

    long put(const std::string &address, const std::string &body)
    {
        http::ClientRequest request;
        request.method = "POST";
        request.host = address;
        request.target = "/api/config/put";
        request.body = body;
        request.limit = 2s;
        return this->client.callAndWait(std::move(request)).status;
    }

    std::string callers() const
    {
        return fmt::format("{}:{}", Entry, this->callersPort);
    }

    std::string readiness(const std::string &vm) const
    {
        return fmt::format("{}:{}", vm, this->readinessPort);
    }

    std::string control(const std::string &vm) const
    {
        return fmt::format("{}:{}", vm, this->controlPort);
    }

    static constexpr const char *Entry = "127.0.0.14";
    std::vector<std::unique_ptr<support::Process>> processes;

private:
    void start(const std::string &vm, const std::string &disk)
    {
        const std::string file = fmt::format("{}/{}.ini", this->folder.name(), vm);
        const bool entry = disk.empty();
        std::ofstream(file) << fmt::format(
            "[vm]\nname = {0}\naddress = {0}\nzone = z\n\n[listen]\ncallers = {1}\nreadiness = {2}\ncontrol = {3}\nmetrics =\n\n"
            "[link]\nlisten = {0}:{4}\nkey = 5f0c2f6a9e1b47d3a8c4410be72d9635\n\n"
            "[cell]\nseeds = 127.0.0.11:{5},127.0.0.12:{5},127.0.0.13:{5}\ntolerate = 1\nfirst_start = true\ndata_folder = {6}\n\n"
            "[advice]\nservice = 127.0.0.1:1\n\n"
            "[times]\nlease_max_ms = 6000\nstop_limit_ms = 200\ngang_wait_ms = 3000\nrestore_ms = 600\nfar_rack_factor = 1.5\n",
            vm,
            entry ? this->callers() : "",
            entry ? this->readiness(vm) : "",
            entry ? "" : this->control(vm),
            this->linkPort,
            this->controlPort,
            disk);
        const std::vector<std::string> command{std::string(CRANBERRYREEL_BINARY_DIR) + "/cranberryreel-platformd", "--settings", file};
        this->processes.push_back(std::make_unique<support::Process>(command, file + ".log"));
    }

    support::TemporaryFolder folder;
    http::Client client;
    const std::uint16_t callersPort = support::freePort();
    const std::uint16_t readinessPort = support::freePort();
    const std::uint16_t controlPort = support::freePort();
    const std::uint16_t linkPort = support::freePort();
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformProcessTest)

BOOST_AUTO_TEST_CASE(formsACellStoresRulesAndStopsWithinTheGraceTime)
{
    PlatformCell cell;
    BOOST_REQUIRE(support::eventually([&cell] { return cell.get(cell.readiness(PlatformCell::Entry), "/api/ready") == 200; }));
    BOOST_REQUIRE(support::eventually([&cell] { return cell.put(cell.control("127.0.0.12"), Rules) == 200; }));
    BOOST_TEST(cell.get(cell.control("127.0.0.13"), "/api/config/get") == 200);
    BOOST_TEST(cell.put(cell.control("127.0.0.11"), "{\"Version\":6,") == 400);
    BOOST_TEST(cell.get(cell.callers(), "/p/") == 404);
    for (const auto &process : cell.processes) {
        process->signal(SIGTERM);
    }
    // Clients keep their connections open; the platform kills a process that still runs after 6 s.
    for (const auto &process : cell.processes) {
        BOOST_TEST(support::eventually([&process] { return !process->running(); }, 6s));
        BOOST_TEST(process->exitStatus().value_or(-1) == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
