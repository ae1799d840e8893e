#include "../standins/CaseRun.h"
#include "../standins/Cell.h"
#include "../standins/DelayProxy.h"
#include "../standins/Fleet.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

// The path from a runner to one VM is cut off. The runner, which ends as planned, deregisters there, gets no acknowledgement, ends, and begins again under its
// id. Then the path heals, and the deregistration arrives.

using namespace cranberryreel::review;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t Cpu = 16000;
constexpr auto StartTime = 2s;
constexpr auto DrainTime = 2500ms;
constexpr auto DeregisterLimit = 1000ms;
constexpr auto EndDelay = 1s; ///< Without an acknowledgement the runner ends some seconds later.
constexpr auto DownTime = 500ms;
constexpr auto StartLimit = 10s;
constexpr auto ContactTime = 3s; ///< Without a disruption for this long, machines are in touch.
constexpr auto WatchTime = 20s;
constexpr auto SameMoment = 5ms; ///< A stopped task is started again after 20 ms at the earliest.
constexpr const char *Step = R"("Count":4,"Requirements":"b","Cpu":1000,"MemRequestMb":256,"EstimateMs":1000,"LongRunning":true,"MaxUnavailable":1)";
constexpr const char *BatchStep = R"("Count":1,"Requirements":"b","Cpu":1000,"MemRequestMb":256,"EstimateMs":8000)";

/// Lapses of the job's tasks since `calmSince` at which another task of the step had lapsed within the same moment, and so was away by such an order:
/// `MaxUnavailable` is 1.
int countUnavailable(const std::vector<Runner::Lapse> &lapses, const std::string &job, std::chrono::steady_clock::time_point calmSince)
{
    int broken = 0;
    std::string lastTask;
    auto lastAt = calmSince;
    for (const Runner::Lapse &lapse : lapses) {
        if (lapse.at < calmSince || lapse.task.rfind(job, 0) != 0) {
            continue;
        }
        broken += !lastTask.empty() && lapse.task != lastTask && lapse.at - lastAt < SameMoment ? 1 : 0;
        lastTask = lapse.task;
        lastAt = lapse.at;
    }
    return broken;
}

int run(CaseRun &current)
{
    Record &record = current.record();
    Cell cell({}, current.workFolder(), record);
    if (!cell.configure(sampleConfiguration(1))) {
        return current.couldNotRun("no configuration was acknowledged");
    }
    const std::string behind = bystander(cell);
    DelayProxy path(cell.freeAddress(), cell.control(behind));
    const std::string viaPath = path.address();
    TaskLog tasks(record);
    Fleet fleet(cell, cell.diskVms().front(), Cpu, tasks, record);
    Runner &runner = fleet.runner();
    runner.start();
    std::this_thread::sleep_for(StartTime);
    const bool drained = runner.drain();
    record.write(std::string("runner i-own: says that it drains, ") + (drained ? "acknowledged" : "not acknowledged"));
    std::this_thread::sleep_for(DrainTime);
    if (current.hasTrouble()) {
        record.write("network: the path from the runner to " + behind + " is cut off");
        path.cut();
    }
    runner.deregister(viaPath, DeregisterLimit);
    std::this_thread::sleep_for(EndDelay);
    runner.crash();
    std::this_thread::sleep_for(DownTime);
    runner.start();
    const std::string job = jobId(1);
    if (submitJob(record, cell.frontend(0), job, "lasts cpu=1000", Step) != 200 || !waitUntil([&] { return runner.runningTasks().size() == 4; }, StartLimit)) {
        return current.couldNotRun("the job's tasks were not started");
    }
    submitJob(record, cell.frontend(0), jobId(2), "work=8000 cpu=1000", BatchStep);
    if (current.hasTrouble()) {
        record.write("network: the path heals");
        path.heal();
    }
    std::this_thread::sleep_for(ContactTime);
    const auto calmSince = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(WatchTime);
    const int broken = countUnavailable(runner.lapses(), job, calmSince);
    record.write(std::to_string(broken) + " tasks of the step lapsed while another one was away by a lapse, all later than 3 s after the last disruption");
    record.write("client: GET the job whose one task takes 8 s -> " + stateOfJob(cell.frontend(0), jobId(2)));
    cancelJob(record, cell.frontend(0), job);
    fleet.stop();
    cell.stop();
    return current.finish(broken > 0);
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
