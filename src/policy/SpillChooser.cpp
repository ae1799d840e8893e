#include "policy/SpillChooser.h"

#include <algorithm>

namespace cranberryreel::policy
{

void SpillChooser::setView(const std::string &zone, const LoadView &load, base::SteadyTime now)
{
    const auto found = std::find_if(this->remotes.begin(), this->remotes.end(), [&](const Remote &remote) { return remote.zone == zone; });
    Remote &remote = found == this->remotes.end() ? this->remotes.emplace_back() : *found;
    remote = {zone, load, now, 0};
}

void SpillChooser::removeZone(const std::string &zone)
{
    this->remotes.erase(std::remove_if(this->remotes.begin(), this->remotes.end(), [&](const Remote &remote) { return remote.zone == zone; }),
                        this->remotes.end());
}

std::chrono::milliseconds SpillChooser::expectedWait(const Remote &remote) const
{
    const LoadView &load = remote.load;
    const std::chrono::milliseconds each =
        load.waiting > 0 ? std::max(load.expectedWait / load.waiting, std::chrono::milliseconds(1)) : this->options.waitPerTask;
    const std::uint32_t beyondRoom = remote.sentSince > load.room ? remote.sentSince - load.room : 0;
    return load.expectedWait + each * beyondRoom + this->options.transferCost;
}

std::optional<std::string> SpillChooser::choose(const LoadView &local, base::SteadyTime now)
{
    this->fresh.clear();
    for (std::size_t i = 0; i < this->remotes.size(); ++i) {
        if (now - this->remotes[i].seenAt <= this->options.oldestView) {
            this->fresh.push_back(i);
        }
    }
    if (this->fresh.empty() || local.expectedWait <= this->options.transferCost) {
        return std::nullopt;
    }
    const std::size_t first = this->random() % this->fresh.size();
    const std::size_t second = this->fresh.size() == 1 ? first : (first + 1 + this->random() % (this->fresh.size() - 1)) % this->fresh.size();
    Remote &one = this->remotes[this->fresh[first]];
    Remote &other = this->remotes[this->fresh[second]];
    Remote &better = this->expectedWait(other) < this->expectedWait(one) ? other : one;
    if (better.load.expectedWait + this->options.transferCost >= local.expectedWait) {
        return std::nullopt;
    }
    ++better.sentSince;
    return better.zone;
}

} // namespace cranberryreel::policy
