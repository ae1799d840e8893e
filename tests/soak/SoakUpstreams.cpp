#include "soak/SoakUpstreams.h"

#include "support/Eventually.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cranberryreel::soak
{

namespace
{

/// With two tasks of a job on each upstream, those that are left have room for a lost one's tasks twice over.
constexpr int UpstreamCount = 4;
constexpr int JobCount = 2;
constexpr int TasksPerJob = 4;
/// Every second upstream's clock is as slow as the platform allows.
constexpr double SlowClockRate = 0.98;

} // namespace

SoakUpstreams::SoakUpstreams(support::PlatformCell &platformCell)
    : cell(platformCell)
{
    this->setControlVms(this->cell.diskVms());
}

SoakUpstreams::~SoakUpstreams()
{
    this->stop();
}

void SoakUpstreams::start()
{
    for (int i = 0; i < UpstreamCount; ++i) {
        this->addUpstream();
    }
    for (int number = 0; number < JobCount; ++number) {
        const std::string job = fmt::format("{:016x}", number);
        // A call without an answer may have been accepted, so the job is expected in any case.
        support::eventually([&] { return this->cell.submitLasting(this->cell.entryVms().front(), job, TasksPerJob) / 100 == 2; });
        for (int task = 0; task < TasksPerJob; ++task) {
            this->runs.expect(fmt::format("{}.0.0.{}", job, task));
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
    return this->runs;
}

void SoakUpstreams::addUpstream()
{
    const int number = ++this->added;
    this->upstreams.push_back(std::make_unique<SoakUpstream>(
        fmt::format("i-{}", number), number % 2 == 0 ? SlowClockRate : 1.0, this->runs, [this](const std::string &id, const std::string &body) {
            return this->announce(id, body);
        }));
}

std::string SoakUpstreams::nextToEnd() const
{
    const auto order = [](const auto &upstream) { return std::make_pair(upstream->draining(), upstream->runCount()); };
    const auto next = std::max_element(this->upstreams.begin(), this->upstreams.end(), [&order](const auto &a, const auto &b) { return order(a) < order(b); });
    return (*next)->id();
}

void SoakUpstreams::drain(const std::string &id)
{
    (*this->find(id))->drain();
}

void SoakUpstreams::vanish(const std::string &id)
{
    this->upstreams.erase(this->find(id));
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
