// A task that lasts and has failed is not started again while urgent work leaves less room free than the headroom that is kept for urgent work.
#include "CaseRun.h"
#include "Cell.h"
#include "Client.h"
#include "Fleet.h"
#include "Workload.h"

#include <algorithm>
#include <thread>

namespace
{

using namespace cranberryreel::review;
using namespace std::chrono_literals;

constexpr const char *Host = "berths.example";
constexpr const char *QuoteQueue = "/quote/";
constexpr const char *WatchQueue = "/watch/";
constexpr const char *Watch = "00000000000000a1";
constexpr const char *WatchTask = "00000000000000a1.0.0.0";
constexpr const char *Quote = "00000000000000b1";
constexpr int Runners = 4;
constexpr int WatchCpu = 5000;
constexpr int QuoteTasks = 16;
constexpr int QuoteCpu = 14000;
/// The rule counts from 6 s after the last run, and allows 3 s more.
constexpr auto AllowedGap = 9000ms;
constexpr auto SampleInterval = 50ms;

Outcome run(const CaseRun &given)
{
    Cell cell(given.folder, {}, given.record);
    if (!cell.configure(configuration(3, Host, "bokun", {{"quote", QuoteQueue, 0}, {"watch", WatchQueue, 1}}))) {
        return Outcome::NotRun;
    }
    Fleet fleet("bokun", Runners, cell, given.record);
    fleet.setTaskSize(Watch, WatchCpu);
    fleet.setTaskSize(Quote, QuoteCpu);
    const Client client(cell, Host, given.record);
    std::this_thread::sleep_for(3s);
    if (!client.submitAccepted(WatchQueue, Watch, Job{"last", 1, WatchCpu, 500, R"("LongRunning":true)"}.body())) {
        return Outcome::NotRun;
    }
    std::this_thread::sleep_for(2s);
    if (given.trouble && !client.submitAccepted(QuoteQueue, Quote, Job{"work 40000", QuoteTasks, QuoteCpu, 40000, {}}.body())) {
        return Outcome::NotRun;
    }
    std::this_thread::sleep_for(8s); // Calm.
    if (!fleet.fail(WatchTask)) {
        return Outcome::NotRun;
    }
    const auto failed = Steady::now();
    int leastRoom = fleet.countFitting(WatchCpu);
    while (Steady::now() < failed + AllowedGap + 2s) {
        if (fleet.isRunning(Watch)) {
            given.record.note("the task that lasts runs again after {} ms",
                              std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - failed).count());
            return Outcome::Held;
        }
        leastRoom = std::min(leastRoom, fleet.countFitting(WatchCpu));
        std::this_thread::sleep_for(SampleInterval);
    }
    given.record.note("the task that lasts did not run for {} ms; there was room for it {} times, {} of {} thousandths of a core are in use",
                      std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - failed).count(),
                      leastRoom,
                      fleet.usedCpuMillis(),
                      fleet.totalCpuMillis());
    client.state(WatchQueue, Watch);
    return leastRoom >= 2 ? Outcome::Broken : Outcome::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
