#pragma once

#include <chrono>
#include <map>
#include <string>

namespace cranberryreel::routing
{

/// This VM's place in the deployment, and the costs and limits of calls to zones.
struct RoutingOptions {
    std::string ownVm;
    std::string ownZone;
    std::chrono::milliseconds transferCost{20}; ///< Work stays in the own zone while the local wait is at most the remote wait plus this cost.
    std::chrono::milliseconds acceptTimeout{8000}; ///< For submits of jobs, cancellations and member changes, which have no deadline of their own.
    std::chrono::milliseconds viewTimeout{2000}; ///< For views, drains and each piece of a large answer.
    std::chrono::milliseconds announceTimeout{900};
    std::size_t maxZonesTried = 3; ///< Limit of zones that one submit is sent to.
    std::map<std::string, bool> hasDisk; ///< By VM, for every VM of the deployment.
};

} // namespace cranberryreel::routing
