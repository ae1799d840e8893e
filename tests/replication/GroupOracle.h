#pragma once

#include "replication/Entry.h"

#include <cstdint>
#include <map>
#include <string>

namespace cranberryreel::replication
{

/// What must be true of a group as a whole, told as it happens: one committed log, one leader a term, one lease at a time, nothing acknowledged lost.
/// It keeps the first violation that it meets.
class GroupOracle
{
public:
    /// With `disasters` a group may be formed anew without what no disk held; what was acknowledged as synced must survive even so.
    explicit GroupOracle(bool disasters)
        : disastersHappen(disasters)
    {
    }

    void committed(const std::string &vm, const Entry &entry);
    void applied(const std::string &vm, std::uint64_t index, std::uint64_t stateHash);
    void leads(const std::string &vm, std::uint64_t term, std::uint64_t commitIndex);
    void leasesHeld(const std::map<std::string, std::uint64_t> &termByVm);
    void acknowledged(std::uint64_t index, std::uint64_t term, bool needsDisk, bool onSyncedDisk);
    void readAnswered(const std::string &vm, std::uint64_t index, std::uint64_t acknowledgedBefore);
    void violated(const std::string &rule);

    /// The log that the group ended with must hold all that was acknowledged as synced.
    void checkSynced();

    std::uint64_t highestAcknowledged() const
    {
        return this->highestAcknowledgedIndex;
    }

    std::uint64_t commitCount() const
    {
        return this->log.size();
    }

    /// Empty while everything held.
    const std::string &violation() const
    {
        return this->first;
    }

private:
    bool disastersHappen;
    std::map<std::uint64_t, std::uint64_t> syncedTerms; ///< Of what was acknowledged as synced, by index.
    std::map<std::uint64_t, Entry> log; ///< The one committed log.
    std::map<std::uint64_t, std::uint64_t> stateHashes; ///< By index.
    std::map<std::uint64_t, std::string> leaders; ///< By term.
    std::uint64_t highestAcknowledgedIndex = 0;
    std::string first;
};

} // namespace cranberryreel::replication
