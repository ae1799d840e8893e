#pragma once

#include <string>
#include <tuple>

namespace cranberryreel::replication
{

/// One member of a group, identified by its VM.
struct Member {
    std::string vm;
    bool hasDisk = false; ///< Syncs every entry to a disk before it acknowledges the entry.
    bool witness = false; ///< Stores the log and votes, but leads only until another member is up to date and can take over.

    bool operator==(const Member &other) const
    {
        return std::tie(this->vm, this->hasDisk, this->witness) == std::tie(other.vm, other.hasDisk, other.witness);
    }
};

} // namespace cranberryreel::replication
