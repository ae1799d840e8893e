// A task that lasts and has failed is not started again while ordinary urgent work runs beside a wide batch job, though there is room for it.
#include "CaseRun.h"
#include "Cell.h"
#include "Client.h"
#include "Fleet.h"
#include "Workload.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace
{

using namespace cranberryreel::review;
using namespace std::chrono_literals;

constexpr const char *Host = "dosing.example";
constexpr const char *DoseQueue = "/dose-adjust/";
constexpr const char *WatchQueue = "/sensor-watch/";
constexpr const char *PlanQueue = "/batch-plan/";
constexpr const char *Watch = "00000000000000a1";
constexpr const char *WatchTask = "00000000000000a1.0.0.0";
constexpr const char *Plan = "00000000000000c1";
constexpr int Runners = 4;
constexpr int RunnerCpu = 32000;
constexpr int WatchCpu = 2000;
constexpr int PlanTasks = 20;
constexpr int PlanCpu = 5500;
constexpr int DoseTasks = 4;
constexpr int DoseCpu = 2500;
/// 8 tasks a second; the site's usual rate is 14.6 a second on 4 of its 48 runners.
constexpr auto DoseInterval = 500ms;
/// The rule counts from 6 s after the last run, and allows 3 s more.
constexpr auto AllowedGap = 9000ms;
constexpr auto SampleInterval = 50ms;

std::string doseJob(int number)
{
    return fmt::format("00000000000d{:04}", number);
}

/// Submits urgent jobs at a steady rate.
void sendDoses(const Client &client, const std::atomic<bool> &stopped)
{
    auto next = Steady::now();
    for (int i = 0; !stopped; ++i) {
        client.submit(DoseQueue, doseJob(i), Job{"work 640", DoseTasks, DoseCpu, 640, {}}.body());
        next += DoseInterval;
        std::this_thread::sleep_until(next);
    }
}

/// Waits for the task that failed at this time. Returns the least room for it that there was meanwhile.
int awaitRestart(const Fleet &fleet, Steady::time_point failed)
{
    int leastRoom = fleet.countFitting(WatchCpu);
    while (!fleet.isRunning(Watch) && Steady::now() < failed + 2 * AllowedGap) {
        leastRoom = std::min(leastRoom, fleet.countFitting(WatchCpu));
        std::this_thread::sleep_for(SampleInterval);
    }
    return leastRoom;
}

Outcome run(const CaseRun &given)
{
    Cell cell(given.folder, {}, given.record);
    const std::vector<Route> routes{{"dose-adjust", DoseQueue, 0}, {"sensor-watch", WatchQueue, 1}, {"batch-plan", PlanQueue, 2}};
    if (!cell.configure(configuration(3, Host, "reifeleit", routes))) {
        return Outcome::NotRun;
    }
    Fleet fleet("reifeleit", Runners, cell, given.record, RunnerCpu);
    fleet.setTaskSize(Watch, WatchCpu);
    fleet.setTaskSize(Plan, PlanCpu);
    constexpr int MostDoses = 100;
    for (int i = 0; i < MostDoses; ++i) {
        fleet.setTaskSize(doseJob(i), DoseCpu);
    }
    const Client client(cell, Host, given.record);
    std::this_thread::sleep_for(3s);
    if (!client.submitAccepted(WatchQueue, Watch, Job{"last", 1, WatchCpu, 400, R"("LongRunning":true)"}.body())) {
        return Outcome::NotRun;
    }
    std::this_thread::sleep_for(8s);
    if (!client.submitAccepted(PlanQueue, Plan, Job{"work 12000", PlanTasks, PlanCpu, 12000, {}}.body())) {
        return Outcome::NotRun;
    }
    std::this_thread::sleep_for(300ms);
    std::atomic<bool> stopped{!given.trouble};
    std::thread doses([&] { sendDoses(client, stopped); });
    std::this_thread::sleep_for(500ms);
    const bool failedOnce = fleet.fail(WatchTask);
    const auto failed = Steady::now();
    const int leastRoom = failedOnce ? awaitRestart(fleet, failed) : 0;
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - failed);
    stopped = true;
    doses.join();
    given.record.note("the task that lasts did not run for {} ms; there was room for it at least {} times", gap.count(), leastRoom);
    if (!failedOnce) {
        return Outcome::NotRun;
    }
    return gap > AllowedGap && leastRoom >= 2 ? Outcome::Broken : Outcome::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
