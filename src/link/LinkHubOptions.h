#pragma once

#include "link/Endpoint.h"
#include "link/LinkKeys.h"
#include "link/LinkLimits.h"
#include "link/LinkTimings.h"

#include <string>
#include <vector>

namespace cranberryreel::link
{

/// Another daemon of the deployment and the address on which it accepts links.
struct Peer {
    std::string vm;
    Endpoint endpoint;
};

/// The settings of a hub.
struct LinkHubOptions {
    std::string vm; ///< This daemon's VM.
    std::string cluster; ///< Connections of daemons of other clusters are refused.
    Endpoint listen;
    std::vector<Peer> peers;
    bool acceptNewcomers = false; ///< An unlisted dialer that proves a shared key becomes a peer; it is not dialed until its address is added.
    LinkKeys keys;
    LinkTimings timings;
    LinkLimits limits;
};

} // namespace cranberryreel::link
