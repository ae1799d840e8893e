#include "Fleet.h"

#include <fmt/format.h>

#include <cstdio>
#include <exception>

namespace review
{

namespace
{

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCouldNotRun = 2;
constexpr int FirstRunnerAddress = 100;

} // namespace

Fleet::Fleet(Record &caseRecord, Cell &cell, int count)
{
    for (int i = 0; i < count; ++i) {
        RunnerOptions options;
        options.id = fmt::format("i-{:08x}", i + 1);
        options.address = loopbackAddress(FirstRunnerAddress + i);
        options.zone = zoneOf(i);
        options.control = cell.controls();
        this->all.push_back(std::make_unique<Runner>(caseRecord, cell.http(), options));
    }
}

std::vector<SeenRun> Fleet::seenRuns(const std::string &job) const
{
    std::vector<SeenRun> found;
    for (const auto &runner : this->all) {
        for (const SeenRun &run : runner->seenRuns()) {
            if (run.task.rfind(job, 0) == 0) {
                found.push_back(run);
            }
        }
    }
    return found;
}

std::string Fleet::configuration()
{
    return R"({"Version":7,"Routes":[{"Name":"r-1","Host":"berths.example","PathPrefix":"/quote/","Kind":"non_idempotent","TimeoutMs":3000,)"
           R"("TargetLatencyMs":250,"Priority":0,"Service":"bokun","MaxAttempts":2,"SlackFactor":1.5}],)"
           R"("Services":[{"Name":"bokun","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"AdmissionCheck":false,"Standby":false}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

void sendForeignHeartbeat(Record &record, Cell &cell, const std::string &vm, const std::string &id, const nlohmann::json &body)
{
    cranberryreel::http::ClientRequest request;
    request.method = "POST";
    request.host = cell.control(vm);
    request.target = "/api/instances/" + id + "/heartbeat";
    request.body = body.dump();
    request.limit = std::chrono::seconds(1);
    const cranberryreel::http::ClientResponse response = cell.http().callAndWait(request);
    record.line(fmt::format("another writer: POST {} to {} {} -> {}", request.target, request.host, request.body, response.status));
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

int runCase(int argc, char **argv, const std::function<std::optional<bool>(Record &)> &holds)
{
    if (argc != 2) {
        std::fputs("usage: PROGRAM RECORD-FILE\n", stderr);
        return ExitCouldNotRun;
    }
    try {
        Record record(argv[1]);
        record.line(troubleWanted() ? "with the disruption" : "TROUBLE=0: without the disruption");
        const std::optional<bool> held = holds(record);
        record.line(held ? (*held ? "result: the rule held" : "result: the rule was broken") : "result: the case could not run");
        return held ? (*held ? ExitHeld : ExitBroken) : ExitCouldNotRun;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return ExitCouldNotRun;
    }
}

} // namespace review
