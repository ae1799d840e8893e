#pragma once

#include <string>
#include <tuple>

namespace cranberryreel::replication
{

/// One place in a group, named by its VM.
struct Member {
    std::string vm;
    bool hasDisk = false; ///< It syncs every entry to a disk before it acknowledges it.
    bool witness = false; ///< It keeps the log and votes, but leads only to bring another member up to date.

    bool operator==(const Member &other) const
    {
        return std::tie(this->vm, this->hasDisk, this->witness) == std::tie(other.vm, other.hasDisk, other.witness);
    }
};

} // namespace cranberryreel::replication
