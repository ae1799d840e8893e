#include "path/LoadGenerator.h"

#include <absl/strings/str_split.h>

#include <cstdio>
#include <cstdlib>
#include <getopt.h>

// Generates load on entry VMs and reports throughput and latency as seen by callers.

namespace
{

using cranberryreel::bench::LoadGenerator;
using cranberryreel::bench::LoadOptions;

constexpr int ExitUsage = 1;

constexpr const char *Usage = "usage: PathBench --entries HOST:PORT,... --key KEY [--rate N] [--connections N] [--seconds N] [--warm-up N]\n"
                              "  [--name TEXT] [--payload TEXT] [--cpu MILLIS] [--memory MIB] [--deadline-ms N] [--once] [--json]\n"
                              "  --rate 0 (the default) is the closed loop: each connection sends its next request when the previous one is answered.\n"
                              "  --once sends requests that are not repeatable, each with a key of its own.\n";

enum Option : int {
    Entries = 1000,
    Key,
    Rate,
    Connections,
    Seconds,
    WarmUp,
    Name,
    Payload,
    Cpu,
    Memory,
    Deadline,
    Once,
    Json,
    Help,
};

constexpr option Options[] = {
    {"entries", required_argument, nullptr, Entries},
    {"key", required_argument, nullptr, Key},
    {"rate", required_argument, nullptr, Rate},
    {"connections", required_argument, nullptr, Connections},
    {"seconds", required_argument, nullptr, Seconds},
    {"warm-up", required_argument, nullptr, WarmUp},
    {"name", required_argument, nullptr, Name},
    {"payload", required_argument, nullptr, Payload},
    {"cpu", required_argument, nullptr, Cpu},
    {"memory", required_argument, nullptr, Memory},
    {"deadline-ms", required_argument, nullptr, Deadline},
    {"once", no_argument, nullptr, Once},
    {"json", no_argument, nullptr, Json},
    {"help", no_argument, nullptr, Help},
    {nullptr, 0, nullptr, 0},
};

[[noreturn]] void usage(bool asked)
{
    std::fputs(Usage, asked ? stdout : stderr);
    std::exit(asked ? 0 : ExitUsage);
}

void applyOption(LoadOptions &load, int chosen)
{
    switch (chosen) {
    case Entries:
        load.entries = absl::StrSplit(optarg, ',', absl::SkipEmpty());
        break;
    case Key:
        load.key = optarg;
        break;
    case Rate:
        load.rate = std::atof(optarg);
        break;
    case Connections:
        load.connections = std::atoi(optarg);
        break;
    case Seconds:
        load.duration = std::chrono::seconds(std::atoi(optarg));
        break;
    case WarmUp:
        load.warmUp = std::chrono::seconds(std::atoi(optarg));
        break;
    case Name:
        load.name = optarg;
        break;
    case Payload:
        load.payload = optarg;
        break;
    case Cpu:
        load.cpuMillis = std::atoll(optarg);
        break;
    case Memory:
        load.memoryMiB = std::atoll(optarg);
        break;
    case Deadline:
        load.deadline = std::chrono::milliseconds(std::atoll(optarg));
        break;
    case Once:
        load.repeatable = false;
        break;
    case Json:
        load.json = true;
        break;
    default:
        usage(chosen == Help);
    }
}

} // namespace

int main(int argc, char **argv)
{
    LoadOptions load;
    for (int chosen = 0; (chosen = getopt_long(argc, argv, "", Options, nullptr)) != -1;) {
        applyOption(load, chosen);
    }
    if (load.entries.empty() || load.connections < 1) {
        usage(false);
    }
    LoadGenerator(load).run();
    return 0;
}
