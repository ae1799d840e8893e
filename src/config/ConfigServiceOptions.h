#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace cranberryreel::config
{

struct ConfigTimings {
    std::chrono::milliseconds exchangeInterval{500}; ///< Between two rounds of comparing revisions with other VMs.
    std::chrono::milliseconds callLimit{2000}; ///< Of one call to another VM.
    std::chrono::milliseconds cutOffAfter{2000}; ///< Without the group for so long from the start, the VM asks its zone instead.
    std::chrono::milliseconds changeLimit{5000}; ///< To find a leader that takes a change.
    std::chrono::milliseconds retryDelay{100};
    std::chrono::milliseconds inForceWait{1200}; ///< A change's answer waits so long for VMs to serve on it.
    std::chrono::milliseconds statusLimit{1000};
};

/// What one VM's config service has to know of the deployment. Immutable once the service is built.
struct ConfigServiceOptions {
    std::string vm;
    std::vector<std::string> vms; ///< Of the whole deployment, the own one among them.
    std::vector<std::string> zonePeers; ///< Other VMs of the own zone.
    std::vector<std::string> groupMembers; ///< Of the configuration group.
    std::string dataFolder; ///< Empty on a VM without a disk.
    ConfigTimings timings;
};

} // namespace cranberryreel::config
