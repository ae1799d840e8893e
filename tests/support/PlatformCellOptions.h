#pragma once

#include <chrono>

namespace cranberryreel::support
{

/// Size of a PlatformCell.
struct PlatformCellOptions {
    int diskVms = 3; ///< VMs with a disk; the first three are the seeds, the others start as standbys.
    int entryVms = 1;
    int tolerate = 1; ///< VMs with a disk that may be lost at the same time.
    std::chrono::milliseconds leaseMax{6000}; ///< Longest lease that the platform allows, as the settings state it.
};

} // namespace cranberryreel::support
