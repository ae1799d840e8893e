#pragma once

#include "link/Endpoint.h"
#include "link/LinkKeys.h"
#include "link/LinkLimits.h"
#include "link/LinkTimings.h"

#include <string>
#include <vector>

namespace cranberryreel::link
{

/// Another daemon of the deployment and where it listens for links.
struct Peer {
    std::string vm;
    Endpoint endpoint;
};

/// Everything a hub is built from.
struct LinkHubOptions {
    std::string vm; ///< This daemon's VM.
    std::string cluster; ///< Daemons of other clusters are refused.
    Endpoint listen;
    std::vector<Peer> peers;
    bool acceptNewcomers = false; ///< A dialer that proves the key becomes a peer that is never dialed.
    LinkKeys keys;
    LinkTimings timings;
    LinkLimits limits;
};

} // namespace cranberryreel::link
