#include "../standins/CaseRun.h"
#include "../standins/Cell.h"
#include "../standins/Fleet.h"

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

// A runner loses power and is back at once under its id, while the VM that takes its heartbeats is frozen. It carries out an order and lists the end before the
// leader knows that its counts have started anew.

using namespace cranberryreel::review;
using namespace std::chrono_literals;

namespace
{

constexpr int Rounds = 3;
constexpr int EndsBefore = 4; ///< Ends that the leader takes note of before each loss of power.
constexpr std::int64_t Cpu = 16000;
constexpr auto StartTime = 2s;
constexpr auto EndInterval = 600ms;
constexpr auto CrashAfterEnd = 400ms;
constexpr auto DownTime = 300ms;
constexpr auto FreezeTime = 3500ms;
constexpr auto RoundPause = 3s;
constexpr auto JobLimit = 8s;
constexpr const char *LongTask = R"("Count":1,"Requirements":"b","Cpu":1000,"MemRequestMb":64,"EstimateMs":600000)";
constexpr const char *ShortTask = R"("Count":1,"Requirements":"b","Cpu":1000,"MemRequestMb":64,"EstimateMs":200)";

class Rig
{
public:
    Rig(CaseRun &caseRun, Cell &caseCell)
        : record(caseRun.record())
        , cell(caseCell)
    {
    }

    std::string submit(const std::string &payload, const char *step)
    {
        const std::string id = jobId(++this->jobs);
        return submitJob(this->record, this->cell.frontend(0), id, payload, step) == 200 ? id : std::string();
    }

    bool completes(const std::string &id)
    {
        return waitUntil([&] { return stateOfJob(this->cell.frontend(0), id) == "completed"; }, JobLimit);
    }

private:
    Record &record;
    Cell &cell;
    int jobs = 0;
};

int run(CaseRun &current)
{
    Record &record = current.record();
    Cell cell({}, current.workFolder(), record);
    if (!cell.configure(sampleConfiguration(1))) {
        return current.couldNotRun("no configuration was acknowledged");
    }
    const std::string frozen = bystander(cell);
    TaskLog tasks(record);
    Fleet fleet(cell, frozen, Cpu, tasks, record);
    Runner &runner = fleet.runner();
    runner.start();
    std::this_thread::sleep_for(StartTime);
    Rig rig(current, cell);
    rig.submit("work=600000 cpu=1000", LongTask); // Keeps a renewal waiting at the runner all the time.
    for (int round = 0; round < Rounds && tasks.violations().empty(); ++round) {
        for (int i = 0; i < EndsBefore; ++i) {
            if (const std::string id = rig.submit("work=200 cpu=1000", ShortTask); id.empty() || !rig.completes(id)) {
                return current.couldNotRun("a job was not completed before the disruption");
            }
            std::this_thread::sleep_for(EndInterval);
        }
        std::this_thread::sleep_for(CrashAfterEnd);
        if (current.hasTrouble()) {
            cell.signal(frozen, SIGSTOP, "freezes");
            runner.losePower();
            std::this_thread::sleep_for(DownTime);
            runner.start();
        }
        const auto frozenAt = std::chrono::steady_clock::now();
        const std::string id = rig.submit("work=200 cpu=1000", ShortTask);
        std::this_thread::sleep_until(frozenAt + FreezeTime);
        if (current.hasTrouble()) {
            cell.signal(frozen, SIGCONT, "wakes");
        }
        const bool completed = !id.empty() && rig.completes(id);
        record.write("client: job " + id + (completed ? " is completed" : " isn't completed yet"));
        std::this_thread::sleep_for(RoundPause);
    }
    fleet.stop();
    cell.stop();
    return current.finish(!tasks.violations().empty());
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
