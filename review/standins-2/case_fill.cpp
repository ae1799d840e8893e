// A job whose tasks fill the room that other tasks leave unused never begins while each runner has a task that serves users.
#include "CaseRun.h"
#include "Cell.h"
#include "Client.h"
#include "Fleet.h"
#include "OwedWatch.h"
#include "Workload.h"

#include <thread>

namespace
{

using namespace cranberryreel::review;
using namespace std::chrono_literals;

constexpr const char *Host = "berths.example";
constexpr const char *WatchQueue = "/watch/";
constexpr const char *ReportQueue = "/report/";
constexpr const char *Watch = "00000000000000a1";
constexpr const char *Report = "00000000000000c1";
constexpr int Runners = 4;
constexpr int WatchCpu = 5000;
constexpr int ReportCpu = 2000;

Outcome run(const CaseRun &given)
{
    Cell cell(given.folder, {}, given.record);
    if (!cell.configure(configuration(3, Host, "bokun", {{"watch", WatchQueue, 1}, {"report", ReportQueue, 2}}))) {
        return Outcome::NotRun;
    }
    Fleet fleet("bokun", Runners, cell, given.record);
    fleet.setTaskSize(Watch, WatchCpu);
    fleet.setTaskSize(Report, ReportCpu);
    const Client client(cell, Host, given.record);
    std::this_thread::sleep_for(3s);
    const std::string serving = R"("AntiAffinity":1,"LongRunning":true,"Image":"watch","TargetMs":200)";
    if (given.trouble && !client.submitAccepted(WatchQueue, Watch, Job{"last", Runners, WatchCpu, 500, serving}.body())) {
        return Outcome::NotRun;
    }
    std::this_thread::sleep_for(2s);
    const std::string filling = R"("Image":"report","FillCount":1)";
    if (!client.submitAccepted(ReportQueue, Report, Job{"work 500", 1, ReportCpu, 500, filling}.body())) {
        return Outcome::NotRun;
    }
    const OwedResult result = awaitJob({ReportQueue, Report, ReportCpu}, client, fleet, given.record);
    if (result.completed || result.owedFor < AllowedWait) {
        return Outcome::Held;
    }
    // Shows what the report waited for.
    client.cancel(WatchQueue, Watch);
    std::this_thread::sleep_for(3s);
    given.record.note("3 s after the serving job was cancelled the report is {}", client.state(ReportQueue, Report));
    return Outcome::Broken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
