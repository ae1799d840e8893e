#pragma once

#include "cranberryreel/base/Clock.h"
#include "zone/Beacon.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::routing
{

/// The zones of the deployment: the VMs that may lead each zone, the last known leader, and the last received load. Owned by the daemon; any thread.
class ZoneDirectory
{
public:
    /// `zoneMembers` lists, by zone, the VMs that may lead the zone.
    explicit ZoneDirectory(const std::map<std::string, std::vector<std::string>> &zoneMembers);

    /// Records a zone's broadcast. Broadcasts of unknown zones and of lower epochs are ignored.
    void recordBeacon(const zone::Beacon &beacon, base::SteadyTime now);

    /// Records the leader that another VM named.
    void setLeader(const std::string &zone, const std::string &leader);

    /// Forgets the leader if it is `leader`, since that VM did not answer as the leader.
    void clearLeader(const std::string &zone, const std::string &leader);

    /// The VM to call next: the known leader, otherwise the members in turn by `attempt`. Nothing for an unknown zone.
    std::optional<std::string> leaderCandidate(const std::string &zone, std::size_t attempt, base::SteadyTime now) const;

    /// The last received broadcast of a zone and its arrival time.
    struct ReceivedLoad {
        zone::Beacon beacon;
        base::SteadyTime at;
    };

    /// The loads of all zones whose last broadcast is recent enough.
    std::vector<ReceivedLoad> recentLoads(base::SteadyTime now) const;

    /// The zone's last broadcast; nothing if it is too old to decide by.
    std::optional<zone::Beacon> recentLoad(const std::string &zone, base::SteadyTime now) const;
    std::vector<std::string> zones() const;
    bool hasZone(const std::string &zone) const;

private:
    struct Entry {
        std::vector<std::string> members;
        std::string leader;
        std::optional<zone::Beacon> beacon;
        base::SteadyTime receivedAt;
    };

    mutable absl::Mutex mutex;
    std::map<std::string, Entry> entries ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::routing
