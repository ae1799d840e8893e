#pragma once

#include <chrono>
#include <string>

namespace cranberryreel::cell
{

/// The options of a cell's scheduler, read from its settings. Time limits enforced by upstreams come from the deployment; docs/SETTINGS.md names the source of
/// each.
struct CellOptions {
    std::string ownVm; ///< Name of this VM.
    std::string zone;
    std::string advertisedAddress; ///< "IP:PORT" at which upstreams and operators reach this VM; empty when they cannot.
    std::chrono::milliseconds leaseMax{6000}; ///< Upstreams shorten longer leases to this.
    std::chrono::milliseconds stopLimit{400}; ///< Time within which an upstream ends a stopped task.
    std::chrono::milliseconds gangWait{3000}; ///< How long a started task of a gang waits for the gang's other tasks.
    std::chrono::milliseconds jobRetention{150000}; ///< How long the state of an ended job can be queried.
    std::chrono::milliseconds restoreTime{600}; ///< Time that a task needs to resume from a checkpoint.
    std::chrono::seconds teamRateWindow{1}; ///< Span over which a team's submissions are compared with its rate.
    double farRackFactor = 1.5; ///< How many times longer a task takes when it does not run on its preferred rack.
    bool upstreamSpeeds = false; ///< Placement may consider the speeds of upstreams, which are then estimated.
};

} // namespace cranberryreel::cell
