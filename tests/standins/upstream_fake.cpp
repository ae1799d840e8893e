#include "cranberryreel/base/Error.h"
#include "support/FakeUpstream.h"

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <memory>
#include <vector>

namespace
{

using cranberryreel::testsupport::FakeJournal;
using cranberryreel::testsupport::FakeUpstream;
using cranberryreel::testsupport::FakeUpstreamOptions;

constexpr int ExitUsage = 1;

struct Arguments {
    FakeUpstreamOptions upstream;
    std::string journal;
    unsigned int count = 1;
    bool sameVm = false;
};

enum Option : int {
    Id = 1000,
    Vm,
    Zone,
    Listen,
    Advertise,
    Entries,
    Slots,
    Cpu,
    Memory,
    Accelerators,
    Journal,
    Service,
    RunTime,
    UsageLag,
    Key,
    Count,
    SameVm,
    Help,
};

constexpr option Options[] = {
    {"id", required_argument, nullptr, Id},
    {"vm", required_argument, nullptr, Vm},
    {"zone", required_argument, nullptr, Zone},
    {"listen", required_argument, nullptr, Listen},
    {"advertise", required_argument, nullptr, Advertise},
    {"entries", required_argument, nullptr, Entries},
    {"slots", required_argument, nullptr, Slots},
    {"cpu", required_argument, nullptr, Cpu},
    {"memory", required_argument, nullptr, Memory},
    {"accelerators", required_argument, nullptr, Accelerators},
    {"journal", required_argument, nullptr, Journal},
    {"service", required_argument, nullptr, Service},
    {"run-time-ms", required_argument, nullptr, RunTime},
    {"usage-lag-ms", required_argument, nullptr, UsageLag},
    {"upstream-key", required_argument, nullptr, Key},
    {"count", required_argument, nullptr, Count},
    {"same-vm", no_argument, nullptr, SameVm},
    {"help", no_argument, nullptr, Help},
    {nullptr, 0, nullptr, 0},
};

constexpr const char *Usage = "usage: upstream_fake --id ID --vm VM --zone ZONE --listen HOST:PORT --entries HOST:PORT,...\n"
                              "  [--slots N] [--cpu MILLIS] [--memory MIB] [--accelerators N] [--journal FILE] [--service NAME]\n"
                              "  [--run-time-ms N] [--usage-lag-ms N] [--upstream-key KEY]\n"
                              "  [--count N]   N upstreams ID-1.. on VM-1.., on consecutive ports (port 0: any port)\n"
                              "  [--same-vm]   all of them on one VM\n"
                              "  [--advertise HOST:PORT]   address announced to the entry VMs, such as a relay's\n";

std::int64_t number(const char *text)
{
    return std::strtoll(text, nullptr, 10);
}

void setListen(FakeUpstreamOptions &upstream, const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    upstream.listenAddress = text.substr(0, colon);
    upstream.port = static_cast<std::uint16_t>(number(text.c_str() + colon + 1));
}

void applyOption(Arguments &arguments, int chosen)
{
    FakeUpstreamOptions &upstream = arguments.upstream;
    switch (chosen) {
    case Id:
        upstream.id = optarg;
        break;
    case Vm:
        upstream.vm = optarg;
        break;
    case Zone:
        upstream.zone = optarg;
        break;
    case Listen:
        setListen(upstream, optarg);
        break;
    case Advertise:
        upstream.advertise = optarg;
        break;
    case Entries:
        upstream.entries = absl::StrSplit(optarg, ',', absl::SkipEmpty());
        break;
    case Slots:
        upstream.slots = static_cast<std::uint32_t>(number(optarg));
        break;
    case Cpu:
        upstream.capacity.cpuMillis = number(optarg);
        break;
    case Memory:
        upstream.capacity.memoryMiB = number(optarg);
        break;
    case Accelerators:
        upstream.capacity.accelerators = number(optarg);
        break;
    case Journal:
        arguments.journal = optarg;
        break;
    case Service:
        upstream.service = optarg;
        break;
    case RunTime:
        upstream.runTime = std::chrono::milliseconds(number(optarg));
        break;
    case UsageLag:
        upstream.usageLag = std::chrono::milliseconds(number(optarg));
        break;
    case Key:
        upstream.upstreamKey = optarg;
        break;
    case Count:
        arguments.count = static_cast<unsigned int>(number(optarg));
        break;
    case SameVm:
        arguments.sameVm = true;
        break;
    default:
        std::fputs(Usage, chosen == Help ? stdout : stderr);
        std::exit(chosen == Help ? 0 : ExitUsage);
    }
}

FakeUpstreamOptions optionsOfUpstream(const Arguments &arguments, unsigned int index)
{
    FakeUpstreamOptions upstream = arguments.upstream;
    if (arguments.count > 1) {
        upstream.id = fmt::format("{}-{}", upstream.id, index + 1);
        upstream.vm = arguments.sameVm ? upstream.vm : fmt::format("{}-{}", upstream.vm, index + 1);
        upstream.port = upstream.port == 0 ? std::uint16_t{0} : static_cast<std::uint16_t>(upstream.port + index);
    }
    return upstream;
}

int serve(const Arguments &arguments, const sigset_t &signals)
{
    FakeJournal journal(arguments.journal);
    cranberryreel::http::Client client;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    for (unsigned int i = 0; i < arguments.count; ++i) {
        const FakeUpstreamOptions options = optionsOfUpstream(arguments, i);
        upstreams.push_back(std::make_unique<FakeUpstream>(options, journal, client));
        upstreams.back()->start();
        std::printf("listening %s %s\n", options.id.c_str(), upstreams.back()->address().c_str());
    }
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    client.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    for (int chosen = 0; (chosen = getopt_long(argc, argv, "", Options, nullptr)) != -1;) {
        applyOption(arguments, chosen);
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        return serve(arguments, signals);
    } catch (const cranberryreel::base::Error &error) {
        std::fprintf(stderr, "upstream_fake: %d %s\n", static_cast<int>(error.code()), error.what());
        return ExitUsage;
    }
}
