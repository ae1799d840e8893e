#pragma once

#include <cstdint>
#include <tuple>

namespace cranberryreel::replication
{

/// The end of a log. Of two logs the one with the higher position is the more advanced; a member that keeps its memory never goes back.
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
