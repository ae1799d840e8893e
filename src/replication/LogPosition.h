#pragma once

#include <cstdint>
#include <tuple>

namespace cranberryreel::replication
{

/// The term and index of an entry, used as the end of a log. Of two logs the one with the higher position is the more advanced. The position of a member that
/// keeps its stored log never decreases.
struct LogPosition {
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    bool operator<(const LogPosition &other) const
    {
        return std::tie(this->term, this->index) < std::tie(other.term, other.index);
    }

    bool operator==(const LogPosition &other) const
    {
        return this->term == other.term && this->index == other.index;
    }
};

} // namespace cranberryreel::replication
