#pragma once

#include "config/ActiveConfiguration.h"
#include "config/ConfigPeers.h"
#include "config/ConfigServiceOptions.h"

#include <cstdint>
#include <map>
#include <string>

namespace cranberryreel::config
{

/// Spreads revisions between VMs. A VM that receives the announcement of a higher revision fetches it from the sender; one that receives a lower revision
/// announces its own in return. Announcements carry the revision number only. Owned by the config service; runs in its worker's tasks.
class RevisionExchange
{
public:
    RevisionExchange(const ConfigServiceOptions &options, ConfigPeers &peers, ActiveConfiguration &active);

    /// Announces the revision to the next group member and the next VM of this zone, then fetches the highest revision seen.
    void runRound();
    void announceToAll();
    void onAnnouncement(const std::string &fromVm, std::uint64_t revision);

    /// Puts a fetched revision in force; returns false if the revision in force is lower than the reply's afterwards.
    bool applyFetched(const FetchReply &reply);

    /// The last revision seen from each VM.
    const std::map<std::string, std::uint64_t> &lastSeenRevisions() const;

private:
    void announceToNext(const std::vector<std::string> &vms, std::size_t &nextIndex);
    void fetchFrom(const std::string &vm);
    void fetchHighest();

    const ConfigServiceOptions &options;
    ConfigPeers &peers;
    ActiveConfiguration &active;
    std::map<std::string, std::uint64_t> lastSeen;
    std::size_t nextMemberIndex = 0;
    std::size_t nextZoneIndex = 0;
    bool fetching = false;
};

/// The texts of the revision in force.
RevisionTexts activeTexts(const ActiveConfiguration &active);

} // namespace cranberryreel::config
