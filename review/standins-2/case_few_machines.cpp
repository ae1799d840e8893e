// Work that needs advice which takes longer than 150 ms never starts while four machines or fewer are left.
#include "Advisor.h"
#include "CaseRun.h"
#include "Cell.h"
#include "Client.h"
#include "Fleet.h"
#include "OwedWatch.h"
#include "Workload.h"

#include <csignal>
#include <thread>

namespace
{

using namespace cranberryreel::review;
using namespace std::chrono_literals;

constexpr const char *Host = "intake.example";
constexpr const char *CheckQueue = "/bin-check/";
constexpr const char *Check = "00000000000000c1";
constexpr int Runners = 4;
constexpr int CheckCpu = 11000;
constexpr int AdviceMs = 170; ///< As for the queue remelt-plan of the deployment.
constexpr int CoreMachines = 3;
constexpr int EntryMachines = 9;

Outcome run(const CaseRun &given)
{
    Advisor advisor(std::chrono::milliseconds(AdviceMs), given.record);
    Cell cell(given.folder, {CoreMachines, EntryMachines, advisor.address()}, given.record);
    if (!cell.configure(configuration(3, Host, "vision", {{"bin-check", CheckQueue, 2, 3, AdviceMs}}))) {
        return Outcome::NotRun;
    }
    Fleet fleet("vision", Runners, cell, given.record);
    fleet.setTaskSize(Check, CheckCpu);
    const Client client(cell, Host, given.record);
    std::this_thread::sleep_for(3s);
    // Machines are taken out of service one after the other; the client's own one stays.
    for (int i = 1; given.trouble && i < EntryMachines; ++i) {
        cell.signal(cell.entries()[static_cast<std::size_t>(i)], SIGTERM);
        std::this_thread::sleep_for(2s);
    }
    for (int i = 1; given.trouble && i < EntryMachines; ++i) {
        if (!cell.awaitEnd(cell.entries()[static_cast<std::size_t>(i)], 6000ms)) {
            return Outcome::NotRun;
        }
    }
    std::this_thread::sleep_for(8s); // Calm.
    const std::size_t callsBefore = advisor.calls();
    if (!client.submitAccepted(CheckQueue, Check, Job{"work 1000", 2, CheckCpu, 1000, {}}.body())) {
        return Outcome::NotRun;
    }
    const OwedResult result = awaitJob({CheckQueue, Check, CheckCpu}, client, fleet, given.record);
    given.record.note("calls for advice since the job was accepted: {}", advisor.calls() - callsBefore);
    return result.completed || result.owedFor < AllowedWait ? Outcome::Held : Outcome::Broken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
