#include "../standins/CaseRun.h"
#include "../standins/Cell.h"
#include "../standins/Fleet.h"
#include "../standins/HttpClient.h"

#include <chrono>
#include <csignal>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

// An entry VM freezes. A client that submits a job there gets no answer, gives up and cancels the job at another entry VM. Then the first one wakes.

using namespace cranberryreel::review;
using namespace std::chrono_literals;

namespace
{

constexpr int Rounds = 8;
constexpr int JobsPerRound = 4;
constexpr std::int64_t Cpu = 16000;
constexpr auto StartTime = 2s;
constexpr auto ClientPatience = 500ms;
constexpr auto FreezeTime = 4000ms;
constexpr auto CancelTime = 3000ms; ///< cancel_ms of the pages.
constexpr auto WatchTime = 3s;
constexpr const char *Step = R"("Count":1,"Cpu":1000,"MemRequestMb":256,"EstimateMs":1000,"LongRunning":true)";

struct CancelledJob {
    std::string id;
    std::chrono::steady_clock::time_point cancelledAt;
    int startsBefore = 0; ///< Starts of its task within cancel_ms of the acknowledgement.

    std::string task() const
    {
        return this->id + ".0.0.0";
    }
};

/// Submits a job at the first entry VM and cancels it at the second one. Throws std::runtime_error if the cancel is not acknowledged.
CancelledJob submitAndCancel(Record &record, const Cell &cell, int number)
{
    CancelledJob job;
    job.id = jobId(number);
    const std::string body = R"({"Spec":"lasts cpu=1000","Steps":[{)" + std::string(Step) + "}]}";
    const int submitted = send({cell.frontend(0), "POST", "/p/" + job.id, body, "h", ClientPatience}).status;
    record.write("client: POST job " + job.id + " " + body + " -> " + std::to_string(submitted));
    if (const int cancelled = cancelJob(record, cell.frontend(1), job.id); cancelled != 410 && cancelled / 100 != 2) {
        throw std::runtime_error("a cancel was not acknowledged");
    }
    job.cancelledAt = std::chrono::steady_clock::now();
    return job;
}

/// Returns the starts later than cancel_ms after the acknowledgement of the cancel.
int playRound(CaseRun &current, Cell &cell, const TaskLog &tasks, int round)
{
    Record &record = current.record();
    const std::string frozen = cell.entryVms().front();
    if (current.hasTrouble()) {
        cell.signal(frozen, SIGSTOP, "freezes");
    }
    const auto frozenAt = std::chrono::steady_clock::now();
    std::vector<CancelledJob> jobs(JobsPerRound);
    std::vector<std::thread> clients;
    clients.reserve(JobsPerRound);
    for (int i = 0; i < JobsPerRound; ++i) {
        clients.emplace_back([&, i] { jobs[static_cast<std::size_t>(i)] = submitAndCancel(record, cell, round * JobsPerRound + i + 1); });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    std::this_thread::sleep_until(frozenAt + FreezeTime - 100ms);
    for (CancelledJob &job : jobs) {
        std::this_thread::sleep_until(job.cancelledAt + CancelTime);
        job.startsBefore = tasks.starts(job.task());
    }
    std::this_thread::sleep_until(frozenAt + FreezeTime);
    if (current.hasTrouble()) {
        cell.signal(frozen, SIGCONT, "wakes");
    }
    std::this_thread::sleep_for(WatchTime);
    int late = 0;
    for (const CancelledJob &job : jobs) {
        const int starts = tasks.starts(job.task()) - job.startsBefore;
        if (starts > 0) {
            record.write("RULE BROKEN, UNASKED: a task of job " + job.id
                         + " was started later than 3000 ms after the acknowledgement of its cancelling; the job " + "is shown as "
                         + stateOfJob(cell.frontend(1), job.id));
        }
        late += starts;
    }
    return late;
}

int run(CaseRun &current)
{
    Record &record = current.record();
    Cell cell({}, current.workFolder(), record);
    if (!cell.configure(sampleConfiguration(1))) {
        return current.couldNotRun("no configuration was acknowledged");
    }
    TaskLog tasks(record);
    Fleet fleet(cell, cell.diskVms().front(), Cpu, tasks, record);
    fleet.runner().start();
    std::this_thread::sleep_for(StartTime);
    int late = 0;
    for (int round = 0; round < Rounds && late == 0; ++round) {
        late = playRound(current, cell, tasks, round);
    }
    fleet.stop();
    cell.stop();
    return current.finish(late > 0);
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
