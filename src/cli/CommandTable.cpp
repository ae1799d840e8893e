#include "cli/Command.h"
#include "cli/ConfigCommands.h"
#include "cli/LocalCommands.h"
#include "cli/TraceCommand.h"
#include "cli/ViewCommands.h"
#include "cli/WorkCommands.h"

namespace cranberryreel::cli
{

namespace
{

const Option CpuMillis = {"cpu-millis", "N", "Processor share of a task in thousandths of a core."};
const Option MemoryMib = {"memory-mib", "N", "Memory of a task in MiB."};
const Option Accelerators = {"accelerators", "N", "Accelerators of a task; default 0."};
const Option Tasks = {"tasks", "N", "Number of equal tasks."};
const Option DeadlineMs = {"deadline-ms", "N", "Time from acceptance to the answer."};
const Option RunTimeMs = {"run-time-ms", "N", "Expected run time of a task."};
const Option Priority = {"priority", "N", "0 to 9, larger is more urgent; default 0."};
const Option Service = {"service", "NAME", "Register service that must run it."};
const Option Key = {"key", "TEXT", "Idempotency key: a resend with it counts once."};
const Option Once = {"once", nullptr, "Not repeatable: run at most once; needs --key."};
const Option Payload = {"payload", "TEXT", "Bytes for the upstream; @FILE reads them from a file."};
const Option Watch = {"watch", nullptr, "Show again every second, until it is over or interrupted."};
const Option From = {"from", "REVISION", "Revision it was made from; default: the one in force."};
const Option Id = {"id", "TEXT", "Change id, to send a change again; default: a new one."};

std::vector<Option> jobOptions()
{
    return {Tasks, CpuMillis, MemoryMib, Accelerators, DeadlineMs, RunTimeMs, Priority, Service, Key, Once, Payload};
}

} // namespace

const std::vector<Option> &commonOptions()
{
    static const std::vector<Option> options = {
        {"entry", "HOST:PORT", "Entry VM; may be repeated. Default: CRANBERRYREEL_ENTRIES."},
        {"key-file", "FILE", "File with your bearer key. Default: CRANBERRYREEL_KEY_FILE."},
        {"json", nullptr, "Print JSON for machines."},
        {"help", nullptr, "Print this help."},
    };
    return options;
}

const std::vector<Command> &commandTable()
{
    static const std::vector<Command> commands = {
        {"submit request",
         "NAME",
         "Run one short task and print its answer.",
         {CpuMillis, MemoryMib, Accelerators, DeadlineMs, RunTimeMs, Priority, Service, Key, Once, Payload},
         submitRequest},
        {"submit batch", "NAME", "Submit independent tasks that run to an end.", jobOptions(), submitBatch},
        {"submit gang", "NAME", "Submit tasks that start all at once or not at all.", jobOptions(), submitGang},
        {"submit service", "NAME", "Submit tasks that stay up until cancelled.", jobOptions(), submitService},
        {"status", "ID", "Show work and its tasks.", {Watch}, showStatus},
        {"wait", "ID", "Wait until work is over; exits with its result.", {{"limit-s", "N", "Give up after so many seconds."}}, waitForWork},
        {"answer", "ID", "Print the whole answer of finished work.", {}, printAnswer},
        {"cancel", "ID", "Cancel work: waiting tasks never run, running ones stop.", {}, cancelWork},
        {"register load", "FILE", "Make FILE the register of VMs, partners and services.", {From, Id}, loadRegister},
        {"rules load", "FILE", "Make FILE the rules on who may use what.", {From, Id}, loadRules},
        {"config status", "", "Show which revision each VM serves on.", {Watch}, showConfigStatus},
        {"config show", "[register|rules]", "Print the register and rules in force.", {}, showConfig},
        {"upstreams", "[ZONE|VM]", "Show announced upstreams.", {Watch}, showUpstreams},
        {"jobs", "[PARTNER]", "Show jobs.", {Watch}, showJobs},
        {"shares", "[PARTNER]", "Show each partner's due and used share.", {Watch}, showShares},
        {"zones", "", "Show availability zones, their schedulers and load.", {Watch}, showZones},
        {"explain", "ID", "Say why work waits, or why it is where it is.", {}, explainWork},
        {"drain", "VM", "Give a VM no new work, so that it can be stopped.", {{"undo", nullptr, "Give it work again."}}, drainVm},
        {"zone members",
         "ZONE",
         "Make the named VMs the members of a zone's group.",
         {{"member", "VM", "A VM of the zone; once for each."}, {"witness", "VM", "A VM with a disk in another zone."}},
         changeZoneMembers},
        {"trace", "ID", "Draw the hops of work, by its id or trace id.", {}, traceWork},
        {"key hash", "", "Read a key from standard input and print its SHA-256.", {}, hashKey},
        {"settings table", "", "Print all keys of the daemon's settings.", {}, showSettingsTable},
        {"completion bash", "", "Print a completion script for bash.", {}, completeBash},
    };
    return commands;
}

} // namespace cranberryreel::cli
