#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/SpillChooser.h"
#include "routing/RoutingOptions.h"
#include "routing/ZoneDirectory.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <set>
#include <string>

namespace cranberryreel::routing
{

/// Chooses the zone for work that may run anywhere: the own zone, unless the expected wait there costs more than sending the work to another zone (decided by
/// policy::SpillChooser). Owned by RoutedDispatcher; any thread.
class ZoneChooser
{
public:
    ZoneChooser(const RoutingOptions &routingOptions, const ZoneDirectory &zoneDirectory);

    /// Chooses the zone for work that was not sent to any zone yet.
    std::string firstZone(base::SteadyTime now);

    /// Chooses another zone after those in `tried` refused the work as not run; empty if none is left.
    std::string nextZone(const std::set<std::string> &tried, base::SteadyTime now) const;

private:
    /// Passes the loads that have arrived since the last call to the spill chooser.
    void updateSpillViews(base::SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const RoutingOptions &options;
    const ZoneDirectory &directory;
    absl::Mutex mutex;
    policy::SpillChooser spillChooser ABSL_GUARDED_BY(mutex);
    /// By zone: arrival time of the load that was last passed to the spill chooser.
    std::map<std::string, base::SteadyTime> appliedLoadAt ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::routing
