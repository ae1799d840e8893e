#include "../standins/AdviceService.h"
#include "../standins/CaseRun.h"
#include "../standins/Cell.h"
#include "../standins/Fleet.h"
#include "../standins/HttpClient.h"

#include <chrono>
#include <string>
#include <thread>

// A version of the configuration removes a route and adds one of another name with the same host and prefix, while a job of the first one runs.

using namespace cranberryreel::review;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t Cpu = 16000;
constexpr int EntryVms = 8;
constexpr auto StartTime = 2s;
constexpr auto FirstStepLimit = 5s;
constexpr auto VisibleTime = 3000ms; ///< visible_ms of the pages.
constexpr auto ApplyTime = 2000ms; ///< ConfigApplyMs of the pages.
constexpr auto FinishTime = 14s; ///< finish_s of the pages.
constexpr auto IdleTime = 3s; ///< A job may have nothing running for this long while the turn of a task has come.
constexpr const char *Payload = "work=6000 cpu=1000 advised";
/// Two steps, the second after the first.
constexpr const char *Steps =
    R"("Count":2,"Cpu":1000,"MemRequestMb":256,"EstimateMs":6000},{"Count":2,"Cpu":1000,"MemRequestMb":256,"EstimateMs":6000,"After":[0])";
constexpr const char *BehindVersion =
    R"(,"Routes":[{"Host":"h","PathPrefix":"/p/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":250,"Priority":1,"Service":"s","MaxAttempts":3,)"
    R"("SlackFactor":2.2,"Recommendation":{"DecisionMs":18.0,"PerWorkerMs":0.25,"ValidMs":2000},"Name":")";
constexpr const char *BehindName =
    R"("}],"Services":[{"Name":"s","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"AdmissionCheck":false,"Standby":false}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

std::string configuration(int version, const std::string &routeName)
{
    std::string document = R"({"Version":)" + std::to_string(version);
    return document.append(BehindVersion).append(routeName).append(BehindName);
}

/// Asks each entry VM for the job's state; returns how many answered 410.
int countGone(Record &record, const Cell &cell, const std::string &job)
{
    int gone = 0;
    for (int i = 0; i < EntryVms; ++i) {
        const std::string state = stateOfJob(cell.frontend(i), job);
        std::string line = "client: GET job " + job;
        record.write(line.append(" at ").append(cell.frontend(i)).append(" -> ").append(state));
        gone += state == "410" ? 1 : 0;
    }
    return gone;
}

int run(CaseRun &current)
{
    Record &record = current.record();
    Cell cell({4, EntryVms}, current.workFolder(), record);
    const AdviceService advice(cell.adviceAddress(), record);
    if (!cell.configure(configuration(1, "r"))) {
        return current.couldNotRun("no configuration was acknowledged");
    }
    TaskLog tasks(record);
    Fleet fleet(cell, cell.diskVms().front(), Cpu, tasks, record);
    fleet.runner().start();
    std::this_thread::sleep_for(StartTime);
    const std::string job = jobId(1);
    if (submitJob(record, cell.frontend(0), job, Payload, Steps) != 200) {
        return current.couldNotRun("the job was not accepted");
    }
    if (!waitUntil([&] { return tasks.starts(job + ".0.0.0") > 0 && tasks.starts(job + ".0.0.1") > 0; }, FirstStepLimit)) {
        return current.couldNotRun("the first step was not started");
    }
    std::this_thread::sleep_for(VisibleTime);
    countGone(record, cell, job);
    const std::string changed = configuration(2, current.hasTrouble() ? "r2" : "r");
    const int acknowledged = send({cell.control(cell.diskVms().front()), "POST", "/api/config/put", changed, ""}).status;
    record.write("operator: " + changed + " -> " + std::to_string(acknowledged));
    if (acknowledged != 200) {
        return current.couldNotRun("the second configuration was not acknowledged");
    }
    std::this_thread::sleep_for(ApplyTime);
    int gone = countGone(record, cell, job);
    std::this_thread::sleep_for(FinishTime);
    gone += countGone(record, cell, job);
    const bool secondStepIdle = !waitUntil([&] { return tasks.starts(job + ".0.1.0") + tasks.starts(job + ".0.1.1") > 0; }, IdleTime);
    record.write(std::to_string(gone) + " answers 410 for the accepted job; its second step was " + (secondStepIdle ? "never started" : "started"));
    fleet.stop();
    cell.stop();
    return current.finish(gone > 0 || secondStepIdle);
}

} // namespace

int main(int count, char **arguments)
{
    CaseRun current(count, arguments);
    try {
        return run(current);
    } catch (const std::exception &error) {
        return current.couldNotRun(error.what());
    }
}
