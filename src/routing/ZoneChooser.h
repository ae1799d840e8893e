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

/// Picks the zone for work that may run anywhere: the own one, unless waiting there costs more than the way to another (policy::SpillChooser decides). Owned
/// by RoutedDispatcher; any thread.
class ZoneChooser
{
public:
    ZoneChooser(const RoutingOptions &routingOptions, const ZoneDirectory &zoneDirectory);

    /// For work that no zone has seen yet.
    std::string first(base::SteadyTime now);

    /// After the zones in `tried` refused it as not run; empty when none is left.
    std::string next(const std::set<std::string> &tried, base::SteadyTime now) const;

private:
    void learnLoads(base::SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const RoutingOptions &options;
    const ZoneDirectory &directory;
    absl::Mutex mutex;
    policy::SpillChooser spill ABSL_GUARDED_BY(mutex);
    std::map<std::string, base::SteadyTime> learnedAt ABSL_GUARDED_BY(mutex); ///< By zone: when the load was heard that the chooser was told last.
};

} // namespace cranberryreel::routing
