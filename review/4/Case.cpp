#include "../standins/CaseRun.h"
#include "../standins/Cell.h"
#include "../standins/Fleet.h"

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

// A runner crashes and begins again under its id as a smaller kind, while the VM that takes its heartbeats is frozen. The leader learns of the restart from a
// list of runs, before it learns of the new size.

using namespace cranberryreel::review;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t LargeCpu = 16000;
constexpr std::int64_t SmallCpu = 4000;
constexpr auto StartTime = 2s;
constexpr auto DownTime = 300ms;
constexpr auto FreezeTime = 3500ms;
constexpr auto JobLimit = 10s;
constexpr const char *OneTask = R"("Count":1,"Requirements":"b","Cpu":2000,"MemRequestMb":64,"EstimateMs":200)";
constexpr const char *Tasks = R"("Count":8,"Requirements":"b","Cpu":2000,"MemRequestMb":64,"EstimateMs":1500)";

int run(CaseRun &current)
{
    Record &record = current.record();
    Cell cell({}, current.workFolder(), record);
    if (!cell.configure(sampleConfiguration(1))) {
        return current.couldNotRun("no configuration was acknowledged");
    }
    const std::string frozen = bystander(cell);
    TaskLog tasks(record);
    Fleet fleet(cell, frozen, current.hasTrouble() ? LargeCpu : SmallCpu, tasks, record);
    Runner &runner = fleet.runner();
    runner.start();
    std::this_thread::sleep_for(StartTime);
    const std::string frontend = cell.frontend(0);
    const auto completes = [&](const std::string &id) { return waitUntil([&] { return stateOfJob(frontend, id) == "completed"; }, JobLimit); };
    if (submitJob(record, frontend, jobId(1), "work=200 cpu=2000", OneTask) != 200 || !completes(jobId(1))) {
        return current.couldNotRun("the first job was not completed");
    }
    if (current.hasTrouble()) {
        cell.signal(frozen, SIGSTOP, "freezes");
        runner.crash();
        std::this_thread::sleep_for(DownTime);
        runner.setCapacity(SmallCpu);
        runner.start();
    }
    const auto frozenAt = std::chrono::steady_clock::now();
    submitJob(record, frontend, jobId(2), "work=1500 cpu=2000", Tasks);
    std::this_thread::sleep_until(frozenAt + FreezeTime);
    if (current.hasTrouble()) {
        cell.signal(frozen, SIGCONT, "wakes");
    }
    const bool completed = completes(jobId(2));
    record.write(std::string("client: the second job ") + (completed ? "is completed" : "isn't completed yet"));
    record.write(std::to_string(runner.startsOverCapacity()) + " of " + std::to_string(runner.starts()) + " starts brought the runner over its capacity");
    const bool broken = runner.startsOverCapacity() > 0;
    fleet.stop();
    cell.stop();
    return current.finish(broken);
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
