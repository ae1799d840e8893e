#include "scenario/RevisionWatch.h"

#include <fmt/format.h>

namespace cranberryreel::scenario
{

namespace
{

constexpr Milliseconds Interval{250};
constexpr Milliseconds CallLimit{300};
constexpr long StatusOk = 200;

} // namespace

RevisionWatch::RevisionWatch(const Cluster &scenarioCluster, std::vector<std::string> watchedVms)
    : cluster(scenarioCluster)
    , vms(std::move(watchedVms))
    , thread([this] { this->run(); })
{
}

RevisionWatch::~RevisionWatch()
{
    this->stopping.store(true);
    this->thread.join();
}

std::vector<std::string> RevisionWatch::revisionDecreases() const
{
    absl::MutexLock lock(&this->mutex);
    return this->violations;
}

void RevisionWatch::run()
{
    while (!this->stopping.load()) {
        for (const std::string &vm : this->vms) {
            this->pollVm(vm);
        }
        std::this_thread::sleep_for(Interval);
    }
}

void RevisionWatch::pollVm(const std::string &vm)
{
    // A VM that is not ready serves no callers, so its revision does not count yet.
    const std::string url = this->cluster.entryUrl(vm);
    if (callApi("GET", url + "/readyz", "", "", CallLimit).status != StatusOk) {
        return;
    }
    const ApiReply reply = callApi("GET", url + "/v1/config/current", Cluster::OperatorKey, "", CallLimit);
    if (reply.status != StatusOk) {
        return;
    }
    const auto revision = reply.json().value("revision", std::uint64_t{0});
    absl::MutexLock lock(&this->mutex);
    std::uint64_t &highestSeen = this->highest[vm];
    if (revision < highestSeen) {
        this->violations.push_back(fmt::format("{} went back from revision {} to {}.", vm, highestSeen, revision));
    }
    highestSeen = std::max(highestSeen, revision);
}

} // namespace cranberryreel::scenario
