#include "soak/SoakUpstreams.h"

#include "soak/SoakPlan.h"
#include "support/Eventually.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

namespace cranberryreel::soak
{

namespace
{

/// With two tasks of a job on each upstream, two upstreams have room for all of them.
constexpr int JobCount = 2;
constexpr int TasksPerJob = 4;

} // namespace

SoakUpstreams::SoakUpstreams(support::PlatformCell &platformCell, SoakReport &soakReport, std::uint64_t randomSeed)
    : cell(platformCell)
    , report(soakReport)
    , seed(randomSeed)
    , runs(soakReport, this->lasting)
    , work(randomSeed)
{
    this->setControlVms(this->cell.diskVms());
}

SoakUpstreams::~SoakUpstreams()
{
    this->stop();
}

void SoakUpstreams::start(int count)
{
    for (int i = 0; i < count; ++i) {
        this->addUpstream();
    }
    for (int number = 0; number < JobCount; ++number) {
        const std::string job = fmt::format("{:016x}", number);
        // A call without an answer may have been accepted, so the job is expected in any case.
        support::eventually([&] { return this->cell.submitLasting(this->cell.entryVms().front(), job, TasksPerJob) / 100 == 2; });
        for (int task = 0; task < TasksPerJob; ++task) {
            this->lasting.expect(fmt::format("{}.0.0.{}", job, task));
        }
    }
}

void SoakUpstreams::stop()
{
    this->upstreams.clear();
}

void SoakUpstreams::setControlVms(std::vector<std::string> vms)
{
    const absl::MutexLock lock(&this->mutex);
    this->controlVms = std::move(vms);
}

const LastingRuns &SoakUpstreams::lastingRuns() const
{
    return this->lasting;
}

GangWork &SoakUpstreams::gangWork()
{
    return this->work;
}

void SoakUpstreams::addUpstream()
{
    const std::uint64_t number = ++this->added;
    // Every second upstream's clock is as slow as the platform allows.
    const double rate = number % 2 == 0 ? SlowClockRate : 1.0;
    this->upstreams.push_back(std::make_unique<SoakUpstream>(
        fmt::format("i-{}", number), rate, this->seed + number, this->report, this->runs, this->work, [this](const std::string &id, const std::string &body) {
            return this->announce(id, body);
        }));
}

bool SoakUpstreams::handles(Action action)
{
    return action >= Action::Drain;
}

std::string SoakUpstreams::target(const SoakStep &step) const
{
    return step.action == Action::Drain || step.action == Action::Vanish ? this->nextToEnd() : this->upstreams[step.place]->id();
}

void SoakUpstreams::apply(Action action, const std::string &id)
{
    static const std::map<Action, void (SoakUpstream::*)()> faults = {{Action::Drain, &SoakUpstream::drain},
                                                                      {Action::CrashUpstream, &SoakUpstream::crash},
                                                                      {Action::RestartUpstream, &SoakUpstream::restart},
                                                                      {Action::CutUpstream, &SoakUpstream::cutOff},
                                                                      {Action::RejoinUpstream, &SoakUpstream::rejoin}};
    const auto upstream = this->find(id);
    if (action == Action::Vanish) {
        this->upstreams.erase(upstream);
    } else {
        ((**upstream).*faults.at(action))();
    }
}

std::chrono::steady_clock::time_point SoakUpstreams::lastCut() const
{
    std::chrono::steady_clock::time_point last;
    for (const auto &upstream : this->upstreams) {
        last = std::max(last, upstream->lastCut());
    }
    return last;
}

void SoakUpstreams::setDelays(bool enabled)
{
    for (const auto &upstream : this->upstreams) {
        upstream->setDelays(enabled);
    }
}

std::string SoakUpstreams::nextToEnd() const
{
    const auto order = [](const auto &upstream) { return std::make_pair(upstream->draining(), upstream->runCount()); };
    const auto next = std::max_element(this->upstreams.begin(), this->upstreams.end(), [&order](const auto &a, const auto &b) { return order(a) < order(b); });
    return (*next)->id();
}

bool SoakUpstreams::announce(const std::string &id, const std::string &body)
{
    std::string vm;
    {
        const absl::MutexLock lock(&this->mutex);
        vm = this->controlVms[this->announcements++ % this->controlVms.size()];
    }
    return this->cell.announce(vm, id, body) == 200;
}

std::vector<std::unique_ptr<SoakUpstream>>::iterator SoakUpstreams::find(const std::string &id)
{
    return std::find_if(this->upstreams.begin(), this->upstreams.end(), [&id](const auto &upstream) { return upstream->id() == id; });
}

} // namespace cranberryreel::soak
