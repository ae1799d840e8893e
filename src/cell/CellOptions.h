#pragma once

#include <chrono>
#include <string>

namespace cranberryreel::cell
{

/// What a cell's scheduler is told by its settings. Times that upstreams keep come from the deployment; docs/SETTINGS.md names the source of each.
struct CellOptions {
    std::string ownVm;
    std::string zone;
    std::string advertised; ///< "IP:PORT" at which upstreams and operators reach this VM; empty where they do not.
    std::chrono::milliseconds leaseMax{6000}; ///< Upstreams shorten longer leases to this.
    std::chrono::milliseconds stopLimit{400}; ///< An upstream ends a stopped task within it.
    std::chrono::milliseconds gangWait{3000}; ///< A gang's task waits so long for the others.
    std::chrono::milliseconds jobRetention{150000}; ///< How long the state of an ended job can be asked for.
    std::chrono::milliseconds restoreTime{600}; ///< A task needs it to resume from a checkpoint.
    double farRackFactor = 1.5; ///< How much longer a task takes away from its rack.
};

} // namespace cranberryreel::cell
