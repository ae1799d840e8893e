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
    return {beacon.used, beacon.waiting, beacon.expectedWait, beacon.room};
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
    , spill({routingOptions.transferCost, std::chrono::milliseconds(5000), std::chrono::milliseconds(5), std::random_device{}()})
{
}

std::string ZoneChooser::first(base::SteadyTime now)
{
    const std::string &own = this->options.ownZone;
    const std::optional<zone::Beacon> here = this->directory.load(own, now);
    if (!here || here->expectedWait <= this->options.transferCost) {
        return own;
    }
    absl::MutexLock lock(&this->mutex);
    this->learnLoads(now);
    return this->spill.choose(loadOf(*here), now).value_or(own);
}

void ZoneChooser::learnLoads(base::SteadyTime now)
{
    for (const ZoneDirectory::HeardLoad &heard : this->directory.loads(now)) {
        const std::string &zone = heard.beacon.zone;
        if (zone == this->options.ownZone || this->learnedAt[zone] == heard.at) {
            continue;
        }
        this->learnedAt[zone] = heard.at;
        if (heard.beacon.placing) {
            this->spill.setView(zone, loadOf(heard.beacon), heard.at);
        } else {
            this->spill.removeZone(zone);
        }
    }
}

std::string ZoneChooser::next(const std::set<std::string> &tried, base::SteadyTime now) const
{
    std::vector<std::string> open;
    for (const std::string &zone : this->directory.zones()) {
        if (tried.count(zone) == 0 && this->directory.load(zone, now)) {
            open.push_back(zone);
        }
    }
    if (open.empty()) {
        return {};
    }
    const std::string &left = open[randomBelow(open.size())];
    const std::string &right = open[randomBelow(open.size())];
    return shorterWait(this->directory.load(left, now), this->directory.load(right, now)) ? left : right;
}

} // namespace cranberryreel::routing
