// A gang that cannot start, because a task that lasts holds room which it needs, keeps all work that ranks behind it from starting.
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
constexpr const char *ConfirmQueue = "/confirm/";
constexpr const char *ReportQueue = "/report/";
constexpr const char *Watch = "00000000000000a1";
constexpr const char *Gang = "00000000000000b1";
constexpr const char *Report = "00000000000000c1";
constexpr int Runners = 4;
constexpr int WatchCpu = 35000;
constexpr int GangCpu = 33000;
constexpr int ReportCpu = 2000;

Outcome run(const CaseRun &given)
{
    Cell cell(given.folder, {}, given.record);
    if (!cell.configure(configuration(3, Host, "bokun", {{"watch", WatchQueue, 1}, {"confirm", ConfirmQueue, 1}, {"report", ReportQueue, 2}}))) {
        return Outcome::NotRun;
    }
    Fleet fleet("bokun", Runners, cell, given.record);
    fleet.setTaskSize(Watch, WatchCpu);
    fleet.setTaskSize(Gang, GangCpu);
    fleet.setTaskSize(Report, ReportCpu);
    const Client client(cell, Host, given.record);
    std::this_thread::sleep_for(3s);
    if (!client.submitAccepted(WatchQueue, Watch, Job{"last", 1, WatchCpu, 1000, R"("LongRunning":true)"}.body())) {
        return Outcome::NotRun;
    }
    std::this_thread::sleep_for(2s);
    if (!fleet.isRunning(Watch)) {
        return Outcome::NotRun;
    }
    if (given.trouble && !client.submitAccepted(ConfirmQueue, Gang, Job{"work 1000", Runners, GangCpu, 1000, R"("Gang":true)"}.body())) {
        return Outcome::NotRun;
    }
    std::this_thread::sleep_for(1s);
    if (!client.submitAccepted(ReportQueue, Report, Job{"work 500", 1, ReportCpu, 500, {}}.body())) {
        return Outcome::NotRun;
    }
    const OwedResult result = awaitJob({ReportQueue, Report, ReportCpu}, client, fleet, given.record);
    if (result.completed || result.owedFor < AllowedWait) {
        return Outcome::Held;
    }
    // Shows what the report waited for.
    client.cancel(ConfirmQueue, Gang);
    std::this_thread::sleep_for(2s);
    given.record.note("2 s after the gang was cancelled the report is {}", client.state(ReportQueue, Report));
    return Outcome::Broken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
