#include "soak/RestartPlan.h"

#include "soak/SoakPlan.h"

#include <algorithm>
#include <iterator>

namespace cranberryreel::soak
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// One seed in so many has a cell of many processes.
constexpr std::uint64_t LargeShare = 8;

} // namespace

RestartPlan::RestartPlan(std::uint64_t seed)
    : random(seed)
    , nextFault(seed)
{
    const bool isLarge = seed % LargeShare == 0;
    this->options.tolerate = this->below(3) == 0 ? 2 : 1;
    this->options.diskVms = isLarge ? 20 : 2 * this->options.tolerate + 1 + static_cast<int>(this->below(3));
    this->options.entryVms = isLarge ? 8 : 2;
    this->options.leaseMax = PlatformLeaseMax;
    this->upstreams = isLarge ? 12 : 4;
}

const support::PlatformCellOptions &RestartPlan::layout() const
{
    return this->options;
}

int RestartPlan::upstreamCount() const
{
    return this->upstreams;
}

std::vector<SoakStep> RestartPlan::nextSeries()
{
    // The upstreams that are not cut off have room for all tasks that last.
    constexpr std::size_t MaxCuts = 2;
    std::vector<SoakStep> steps;
    const auto count = static_cast<std::size_t>(this->upstreams);
    const std::size_t restarts = 1 + this->below(count);
    const std::size_t cuts = 1 + this->below(std::min(MaxCuts, restarts));
    const std::size_t first = this->below(count);
    const milliseconds faultTime = this->between(2500ms, 4s);
    for (std::size_t i = 0; i < restarts; ++i) {
        this->addRestarts(steps, (first + i) % count, i < cuts, faultTime);
    }
    this->addLeaderFaults(steps, faultTime);
    std::stable_sort(steps.begin(), steps.end(), [](const SoakStep &a, const SoakStep &b) { return a.time < b.time; });
    return steps;
}

std::size_t RestartPlan::below(std::size_t bound)
{
    return static_cast<std::size_t>(this->random() % bound);
}

milliseconds RestartPlan::between(milliseconds shortest, milliseconds longest)
{
    return shortest + milliseconds(this->below(static_cast<std::size_t>((longest - shortest).count()) + 1));
}

/// Some cuts follow the restart, the others follow the leader's fault, before the next leader has called the upstream.
void RestartPlan::addRestarts(std::vector<SoakStep> &steps, std::size_t place, bool isCut, milliseconds faultTime)
{
    constexpr std::size_t SecondRestartShare = 4;
    milliseconds time = faultTime - this->between(0ms, 2500ms) + 500ms;
    for (std::size_t restarts = this->below(SecondRestartShare) == 0 ? 2 : 1; restarts > 0; --restarts) {
        steps.push_back({time, Action::CrashUpstream, false, false, place});
        time += this->between(20ms, 1s);
        steps.push_back({time, Action::RestartUpstream, false, false, place});
        time += this->between(0ms, 2s);
    }
    if (isCut) {
        time = this->below(2) == 0 ? time : std::max(time, faultTime + this->between(0ms, 800ms));
        steps.push_back({time, Action::CutUpstream, false, false, place});
        steps.push_back({time + this->between(3s, 12s), Action::RejoinUpstream, false, false, place});
    }
}

void RestartPlan::addLeaderFaults(std::vector<SoakStep> &steps, milliseconds time)
{
    static const FaultKind kinds[] = {
        {Action::Kill, Action::Start, 100ms, 3000ms},
        {Action::Freeze, Action::Thaw, 300ms, 4000ms},
        {Action::Terminate, Action::Reload, 100ms, 1000ms},
        {Action::Kill, Action::Start, 100ms, 1000ms},
    };
    constexpr std::size_t SecondFaultShare = 3;
    for (std::size_t faults = this->below(SecondFaultShare) == 0 ? 2 : 1; faults > 0; --faults) {
        const FaultKind &kind = kinds[this->nextFault++ % std::size(kinds)];
        steps.push_back({time, kind.begin, false, true, 0});
        time += this->between(kind.shortest, kind.longest);
        steps.push_back({time, kind.end, false, true, 0});
        time += this->between(0ms, 1500ms);
    }
}

} // namespace cranberryreel::soak
