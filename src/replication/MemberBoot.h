#pragma once

#include <cstdint>
#include <string>

namespace cranberryreel::replication
{

/// One run of a member's process. A member without a disk loses its log when the run ends.
struct MemberBoot {
    std::string vm;
    std::uint64_t boot = 0;

    bool operator==(const MemberBoot &other) const
    {
        return this->vm == other.vm && this->boot == other.boot;
    }
};

} // namespace cranberryreel::replication
