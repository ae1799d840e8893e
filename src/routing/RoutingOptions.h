#pragma once

#include <chrono>
#include <map>
#include <string>

namespace cranberryreel::routing
{

/// Where this VM stands, and what sending work to another zone costs.
struct RoutingOptions {
    std::string ownVm;
    std::string ownZone;
    std::chrono::milliseconds transferCost{20}; ///< A local wait is borne rather than spilled while it is no longer than the remote one and this.
    std::chrono::milliseconds acceptLimit{8000}; ///< For jobs, which have no deadline for their acceptance.
    std::chrono::milliseconds viewLimit{2000};
    std::chrono::milliseconds announceLimit{900};
    std::size_t maxZonesTried = 3;
    std::map<std::string, bool> hasDisk; ///< Of every VM of the deployment.
};

} // namespace cranberryreel::routing
