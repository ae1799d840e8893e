#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace cranberryreel::config
{

struct ConfigTimings {
    std::chrono::milliseconds exchangeInterval{500}; ///< Interval at which revisions are compared with other VMs.
    std::chrono::milliseconds callLimit{2000}; ///< Time limit of one call to another VM.
    std::chrono::milliseconds groupUnreachableAfter{2000}; ///< A VM that cannot reach the group for this long after its start fetches from its zone instead.
    std::chrono::milliseconds changeLimit{5000}; ///< Time limit for finding a leader that accepts a change.
    std::chrono::milliseconds retryDelay{100};
    std::chrono::milliseconds activationWait{1200}; ///< Time that the reply to a change waits for the VMs to activate it.
    std::chrono::milliseconds statusLimit{1000};
};

/// The deployment as one VM's config service needs it. Immutable once the service is built.
struct ConfigServiceOptions {
    std::string vm;
    std::vector<std::string> vms; ///< All VMs of the deployment, this VM included.
    std::vector<std::string> zonePeers; ///< The other VMs of this VM's zone.
    std::vector<std::string> groupMembers; ///< Members of the configuration group.
    std::string dataFolder; ///< Empty on a VM without a disk.
    ConfigTimings timings;
};

} // namespace cranberryreel::config
