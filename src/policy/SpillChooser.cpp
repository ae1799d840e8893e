#include "policy/SpillChooser.h"

#include <algorithm>

namespace cranberryreel::policy
{

void SpillChooser::setView(const std::string &zone, const LoadView &load, base::SteadyTime now)
{
    const auto found = std::find_if(this->remotes.begin(), this->remotes.end(), [&](const RemoteZone &remote) { return remote.zone == zone; });
    RemoteZone &remote = found == this->remotes.end() ? this->remotes.emplace_back() : *found;
    remote = {zone, load, now, 0};
}

void SpillChooser::removeZone(const std::string &zone)
{
    this->remotes.erase(std::remove_if(this->remotes.begin(), this->remotes.end(), [&](const RemoteZone &remote) { return remote.zone == zone; }),
                        this->remotes.end());
}

std::chrono::milliseconds SpillChooser::expectedWait(const RemoteZone &remote) const
{
    const LoadView &load = remote.load;
    const std::chrono::milliseconds perTask =
        load.waiting > 0 ? std::max(load.expectedWait / load.waiting, std::chrono::milliseconds(1)) : this->options.waitPerTask;
    const std::uint32_t beyondFreeSlots = remote.tasksSent > load.freeRequestSlots ? remote.tasksSent - load.freeRequestSlots : 0;
    return load.expectedWait + perTask * beyondFreeSlots + this->options.transferCost;
}

std::optional<std::string> SpillChooser::choose(const LoadView &local, base::SteadyTime now)
{
    this->freshZones.clear();
    for (std::size_t i = 0; i < this->remotes.size(); ++i) {
        if (now - this->remotes[i].updatedAt <= this->options.maxViewAge) {
            this->freshZones.push_back(i);
        }
    }
    if (this->freshZones.empty() || local.expectedWait <= this->options.transferCost) {
        return std::nullopt;
    }
    const std::size_t first = this->random() % this->freshZones.size();
    const std::size_t second = this->freshZones.size() == 1 ? first : (first + 1 + this->random() % (this->freshZones.size() - 1)) % this->freshZones.size();
    RemoteZone &firstZone = this->remotes[this->freshZones[first]];
    RemoteZone &secondZone = this->remotes[this->freshZones[second]];
    RemoteZone &better = this->expectedWait(secondZone) < this->expectedWait(firstZone) ? secondZone : firstZone;
    if (better.load.expectedWait + this->options.transferCost >= local.expectedWait) {
        return std::nullopt;
    }
    ++better.tasksSent;
    return better.zone;
}

} // namespace cranberryreel::policy
