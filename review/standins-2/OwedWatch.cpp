#include "OwedWatch.h"

#include <algorithm>
#include <thread>

namespace cranberryreel::review
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds FinishTime{14000};
constexpr milliseconds Overtime{1000};
constexpr milliseconds StateInterval{500};
constexpr milliseconds SampleInterval{50};

bool isOwed(const WatchedJob &job, const Fleet &fleet)
{
    return !fleet.isRunning(job.id) && fleet.countFitting(job.taskCpuMillis) >= 2 && 2 * fleet.usedCpuMillis() < fleet.totalCpuMillis();
}

milliseconds since(Steady::time_point time)
{
    return std::chrono::duration_cast<milliseconds>(Steady::now() - time);
}

} // namespace

OwedResult awaitJob(const WatchedJob &job, const Client &client, const Fleet &fleet, Record &record)
{
    OwedResult result;
    const auto submitted = Steady::now();
    auto nextState = submitted;
    auto owedSince = submitted;
    bool owed = false;
    while (since(submitted) < FinishTime + AllowedWait + Overtime) {
        if (Steady::now() >= nextState) {
            nextState += StateInterval;
            result.completed = client.state(job.prefix, job.id) == "completed";
        }
        if (result.completed) {
            record.note("job {} was completed after {} ms", job.id, since(submitted).count());
            return result;
        }
        const bool owedNow = since(submitted) >= FinishTime && isOwed(job, fleet);
        owedSince = owedNow && !owed ? Steady::now() : owedSince;
        owed = owedNow;
        result.owedFor = owed ? std::max(result.owedFor, since(owedSince)) : result.owedFor;
        std::this_thread::sleep_for(SampleInterval);
    }
    record.note("{} runs of job {} began; it was owed for {} ms; {} of {} thousandths of a core are in use, and there is room for {} of its tasks",
                fleet.runsOf(job.id).size(),
                job.id,
                result.owedFor.count(),
                fleet.usedCpuMillis(),
                fleet.totalCpuMillis(),
                fleet.countFitting(job.taskCpuMillis));
    return result;
}

} // namespace cranberryreel::review
