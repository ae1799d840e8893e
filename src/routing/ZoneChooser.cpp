#include "routing/ZoneChooser.h"

#include <chrono>
#include <optional>
#include <random>
#include <vector>

namespace cranberryreel::routing
{

namespace
{

std::size_t randomBelow(std::size_t bound)
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(generator);
}

policy::LoadView loadOf(const zone::Beacon &beacon)
{
    return {beacon.used, beacon.waiting, beacon.expectedWait, beacon.freeRequestSlots};
}

bool shorterWait(const std::optional<zone::Beacon> &left, const std::optional<zone::Beacon> &right)
{
    if (!left || !right) {
        return left.has_value();
    }
    return left->expectedWait < right->expectedWait;
}

} // namespace

ZoneChooser::ZoneChooser(const RoutingOptions &routingOptions, const ZoneDirectory &zoneDirectory)
    : options(routingOptions)
    , directory(zoneDirectory)
    , spillChooser({routingOptions.transferCost, std::chrono::milliseconds(5000), std::chrono::milliseconds(5), std::random_device{}()})
{
}

std::string ZoneChooser::firstZone(base::SteadyTime now)
{
    const std::string &own = this->options.ownZone;
    const std::optional<zone::Beacon> here = this->directory.recentLoad(own, now);
    if (!here || here->expectedWait <= this->options.transferCost) {
        return own;
    }
    absl::MutexLock lock(&this->mutex);
    this->updateSpillViews(now);
    return this->spillChooser.choose(loadOf(*here), now).value_or(own);
}

void ZoneChooser::updateSpillViews(base::SteadyTime now)
{
    for (const ZoneDirectory::ReceivedLoad &received : this->directory.recentLoads(now)) {
        const std::string &zone = received.beacon.zone;
        if (zone == this->options.ownZone || this->appliedLoadAt[zone] == received.at) {
            continue;
        }
        this->appliedLoadAt[zone] = received.at;
        if (received.beacon.placing) {
            this->spillChooser.setView(zone, loadOf(received.beacon), received.at);
        } else {
            this->spillChooser.removeZone(zone);
        }
    }
}

std::string ZoneChooser::nextZone(const std::set<std::string> &tried, base::SteadyTime now) const
{
    std::vector<std::string> candidates;
    for (const std::string &zone : this->directory.zones()) {
        if (tried.count(zone) == 0 && this->directory.recentLoad(zone, now)) {
            candidates.push_back(zone);
        }
    }
    if (candidates.empty()) {
        return {};
    }
    const std::string &left = candidates[randomBelow(candidates.size())];
    const std::string &right = candidates[randomBelow(candidates.size())];
    return shorterWait(this->directory.recentLoad(left, now), this->directory.recentLoad(right, now)) ? left : right;
}

} // namespace cranberryreel::routing
