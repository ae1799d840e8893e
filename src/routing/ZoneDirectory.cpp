#include "routing/ZoneDirectory.h"

#include <utility>

namespace cranberryreel::routing
{

namespace
{

constexpr std::chrono::milliseconds BeaconValidity{3500}; // Schedulers broadcast once a second.

} // namespace

ZoneDirectory::ZoneDirectory(const std::map<std::string, std::vector<std::string>> &zoneMembers)
{
    absl::MutexLock lock(&this->mutex);
    for (const auto &[zone, members] : zoneMembers) {
        this->entries[zone].members = members;
    }
}

void ZoneDirectory::recordBeacon(const zone::Beacon &beacon, base::SteadyTime now)
{
    absl::MutexLock lock(&this->mutex);
    const auto found = this->entries.find(beacon.zone);
    if (found == this->entries.end()) {
        return;
    }
    Entry &entry = found->second;
    if (entry.beacon && entry.beacon->epoch > beacon.epoch) {
        return;
    }
    entry.beacon = beacon;
    entry.leader = beacon.leader;
    entry.receivedAt = now;
}

void ZoneDirectory::setLeader(const std::string &zone, const std::string &leader)
{
    absl::MutexLock lock(&this->mutex);
    if (const auto found = this->entries.find(zone); found != this->entries.end()) {
        found->second.leader = leader;
    }
}

void ZoneDirectory::clearLeader(const std::string &zone, const std::string &leader)
{
    absl::MutexLock lock(&this->mutex);
    if (const auto found = this->entries.find(zone); found != this->entries.end() && found->second.leader == leader) {
        found->second.leader.clear();
    }
}

std::optional<std::string> ZoneDirectory::leaderCandidate(const std::string &zone, std::size_t attempt, base::SteadyTime now) const
{
    absl::MutexLock lock(&this->mutex);
    const auto found = this->entries.find(zone);
    if (found == this->entries.end() || found->second.members.empty()) {
        return std::nullopt;
    }
    const Entry &entry = found->second;
    const bool fresh = now - entry.receivedAt < BeaconValidity || attempt == 0;
    if (!entry.leader.empty() && fresh) {
        return entry.leader;
    }
    return entry.members[attempt % entry.members.size()];
}

std::optional<zone::Beacon> ZoneDirectory::recentLoad(const std::string &zone, base::SteadyTime now) const
{
    absl::MutexLock lock(&this->mutex);
    const auto found = this->entries.find(zone);
    if (found == this->entries.end() || now - found->second.receivedAt >= BeaconValidity) {
        return std::nullopt;
    }
    return found->second.beacon;
}

std::vector<ZoneDirectory::ReceivedLoad> ZoneDirectory::recentLoads(base::SteadyTime now) const
{
    absl::MutexLock lock(&this->mutex);
    std::vector<ReceivedLoad> recent;
    for (const auto &[name, entry] : this->entries) {
        if (entry.beacon && now - entry.receivedAt < BeaconValidity) {
            recent.push_back({*entry.beacon, entry.receivedAt});
        }
    }
    return recent;
}

std::vector<std::string> ZoneDirectory::zones() const
{
    absl::MutexLock lock(&this->mutex);
    std::vector<std::string> names;
    for (const auto &[name, entry] : this->entries) {
        names.push_back(name);
    }
    return names;
}

bool ZoneDirectory::hasZone(const std::string &zone) const
{
    absl::MutexLock lock(&this->mutex);
    return this->entries.count(zone) > 0;
}

} // namespace cranberryreel::routing
