#pragma once

#include <cstdint>
#include <string>

namespace cranberryreel::zone
{

/// An upstream that may run work of this zone, as every member of the zone group stores it. A new leader must reach each upstream or wait until its lease has
/// expired.
struct UpstreamRecord {
    std::string id;
    std::string vm;
    std::string boot;
    std::string address; ///< "host:port".
    std::string service;
    std::uint32_t slots = 0;

    friend bool operator==(const UpstreamRecord &left, const UpstreamRecord &right)
    {
        return left.id == right.id && left.vm == right.vm && left.boot == right.boot && left.address == right.address && left.service == right.service
            && left.slots == right.slots;
    }

    friend bool operator!=(const UpstreamRecord &left, const UpstreamRecord &right)
    {
        return !(left == right);
    }
};

} // namespace cranberryreel::zone
