#pragma once

#include "replication/Entry.h"

#include <cstdint>
#include <map>
#include <string>

namespace cranberryreel::replication
{

/// Checks the invariants of a whole group from its reported events: one committed log, one leader per term, one lease at a time, no acknowledged command
/// lost. Keeps the first violation. Owned by the Simulation; one thread.
class GroupOracle
{
public:
    /// With `memoryLostAnywhere` a cold start may lose entries that no disk held; entries acknowledged as synced must still survive.
    explicit GroupOracle(bool memoryLostAnywhere)
        : memoryLossAllowed(memoryLostAnywhere)
    {
    }

    void committed(const std::string &vm, const Entry &entry);
    void applied(const std::string &vm, std::uint64_t index, std::uint64_t stateHash);
    void leads(const std::string &vm, std::uint64_t term, std::uint64_t commitIndex);
    void leasesHeld(const std::map<std::string, std::uint64_t> &termByVm);
    void acknowledged(std::uint64_t index, std::uint64_t term, bool needsDisk, bool onSyncedDisk);
    void readAnswered(const std::string &vm, std::uint64_t index, std::uint64_t acknowledgedBefore);
    void violated(const std::string &rule);

    /// Checks that the final log holds every entry that was acknowledged as synced.
    void checkSynced();

    std::uint64_t highestAcknowledged() const
    {
        return this->highestAcknowledgedIndex;
    }

    std::uint64_t commitCount() const
    {
        return this->log.size();
    }

    /// The first violation; empty for none.
    const std::string &violation() const
    {
        return this->firstViolation;
    }

private:
    bool memoryLossAllowed;
    std::map<std::uint64_t, std::uint64_t> syncedTerms; ///< Terms of the entries acknowledged as synced, by index.
    std::map<std::uint64_t, Entry> log; ///< The committed log, by index.
    std::map<std::uint64_t, std::uint64_t> stateHashes; ///< By index.
    std::map<std::uint64_t, std::string> leaders; ///< By term.
    std::uint64_t highestAcknowledgedIndex = 0;
    std::string firstViolation;
};

} // namespace cranberryreel::replication
