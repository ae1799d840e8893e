// A runner that left and is back under its id carries out a renewal that was meant for its former life, and so holds a longer lease than the leader reckons
// with.
#include "CaseRun.h"
#include "Cell.h"
#include "Client.h"
#include "Fleet.h"
#include "Runner.h"
#include "Workload.h"

#include <algorithm>
#include <thread>

namespace
{

using namespace cranberryreel::review;
using namespace std::chrono_literals;

constexpr const char *Host = "dosing.example";
constexpr const char *PlanQueue = "/batch-plan/";
constexpr const char *WatchQueue = "/sensor-watch/";
constexpr const char *Watch = "00000000000000a1";
constexpr const char *Plan = "00000000000000c1";
constexpr const char *PlanTask = "00000000000000c1.0.0.0";
constexpr int HoldMaxMs = 10000;
constexpr int OtherRunners = 19;
constexpr int RunnerCpu = 32000;
constexpr int Cpu = 5500;
constexpr auto SampleInterval = 10ms;
/// A call without an answer may be carried out 2 s later at the earliest.
constexpr auto LeastDelay = 2100ms;
/// Shortly before the renewal that followed the start would have been answered, so that the leader's last grant lies that far back.
constexpr auto CutAfterStart = 1300ms;
constexpr auto CutTime = 5500ms;

/// Waits until the condition holds; false if it does not by the limit.
template<typename Condition>
bool await(std::chrono::milliseconds limit, Condition condition)
{
    const auto until = Steady::now() + limit;
    while (!condition()) {
        if (Steady::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(SampleInterval);
    }
    return true;
}

bool runsHere(const Runner &runner, const std::string &job)
{
    const std::vector<TaskRun> runs = runner.runs();
    return std::any_of(runs.begin(), runs.end(), [&job](const TaskRun &run) { return run.running() && run.task.rfind(job, 0) == 0; });
}

/// How long a run of the task on this runner overlaps with one on another runner.
std::chrono::milliseconds overlap(const Runner &runner, const Fleet &others)
{
    const auto now = Steady::now();
    const auto endOf = [now](const TaskRun &run) { return run.running() ? now : run.endedAt; };
    auto longest = Steady::duration::zero();
    for (const TaskRun &one : runner.runs()) {
        for (const TaskRun &other : others.runsOf(Plan)) {
            if (one.task == PlanTask) {
                longest = std::max(longest, std::min(endOf(one), endOf(other)) - std::max(one.begunAt, other.begunAt));
            }
        }
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest);
}

/// The only runner in the zone of the client, which work goes to first.
RunnerOptions nearRunner()
{
    RunnerOptions options;
    options.id = "i-near";
    options.service = "reifeleit";
    options.zone = "zone-1";
    options.rack = "r-1";
    options.cpuMillis = RunnerCpu;
    options.memoryMb = 65536;
    options.holdMaxMs = HoldMaxMs;
    return options;
}

Outcome run(const CaseRun &given)
{
    Cell cell(given.folder, {4, 1, {}, HoldMaxMs}, given.record);
    if (!cell.configure(configuration(3, Host, "reifeleit", {{"sensor-watch", WatchQueue, 1}, {"batch-plan", PlanQueue, 2}}))) {
        return Outcome::NotRun;
    }
    const Client client(cell, Host, given.record);
    const Fleet others("reifeleit", OtherRunners, cell, given.record, RunnerCpu, {"zone-2", "zone-3", "zone-4"}, HoldMaxMs);
    Runner former(nearRunner(), cell, given.record);
    std::this_thread::sleep_for(8s);
    const std::string lasting = R"("LongRunning":true)";
    if (!client.submitAccepted(WatchQueue, Watch, Job{"last", 1, Cpu, 500, lasting}.body()) || !await(3s, [&] { return runsHere(former, Watch); })) {
        return Outcome::NotRun;
    }
    std::this_thread::sleep_for(1s);
    former.drain();
    std::this_thread::sleep_for(3s);
    former.keepNextRenewal();
    if (!await(4s, [&] { return !former.keptRenewal().empty(); })) {
        return Outcome::NotRun;
    }
    const auto keptAt = Steady::now();
    former.leave();
    if (!await(8s, [&] { return others.isRunning(Watch); })) {
        return Outcome::NotRun;
    }
    std::this_thread::sleep_until(keptAt + LeastDelay);
    RunnerOptions again = nearRunner();
    again.announces = false;
    Runner returned(again, cell, given.record);
    if (given.trouble) {
        returned.carryOutLate("/api/hold", former.keptRenewal());
    }
    returned.announce();
    std::this_thread::sleep_for(400ms);
    if (!client.submitAccepted(PlanQueue, Plan, Job{"work 12000", 1, Cpu, 12000, {}}.body()) || !await(3s, [&] { return runsHere(returned, Plan); })) {
        return Outcome::NotRun;
    }
    std::this_thread::sleep_for(CutAfterStart);
    returned.cutOff();
    std::this_thread::sleep_for(CutTime);
    returned.rejoin();
    std::this_thread::sleep_for(1s);
    const auto twice = overlap(returned, others);
    given.record.note("two runs of {} at once for {} ms", PlanTask, twice.count());
    return twice > 0ms ? Outcome::Broken : Outcome::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
