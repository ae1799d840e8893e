#pragma once

#include "config/ConfigPeers.h"
#include "config/ConfigServiceOptions.h"
#include "config/InForce.h"

#include <cstdint>
#include <map>
#include <string>

namespace cranberryreel::config
{

/// Spreads revisions: whoever hears of a higher one fetches it from there, whoever hears of a lower one says its own. Announcements carry the number only.
/// Owned by the config service; runs in its worker's tasks.
class RevisionExchange
{
public:
    RevisionExchange(const ConfigServiceOptions &options, ConfigPeers &peers, InForce &inForce);

    /// Compares with one member of the group and one VM of the own zone, in turn.
    void round();
    void announceToAll();
    void heard(const std::string &fromVm, std::uint64_t revision);

    /// Brings a fetched revision in force; false when it is still not there afterwards.
    bool adopt(const FetchReply &reply);

    /// The last revision heard from each VM.
    const std::map<std::string, std::uint64_t> &lastHeard() const;

private:
    void announceToNext(const std::vector<std::string> &vms, std::size_t &turn);
    void fetchFrom(const std::string &vm);
    void fetchHighest();

    const ConfigServiceOptions &options;
    ConfigPeers &peers;
    InForce &inForce;
    std::map<std::string, std::uint64_t> heardRevisions;
    std::size_t memberTurn = 0;
    std::size_t zoneTurn = 0;
    bool fetching = false;
};

/// The texts of what is in force.
RevisionTexts textsInForce(const InForce &inForce);

} // namespace cranberryreel::config
