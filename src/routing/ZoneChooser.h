#pragma once

#include "cranberryreel/base/Clock.h"
#include "routing/RoutingOptions.h"
#include "routing/ZoneDirectory.h"

#include <set>
#include <string>

namespace cranberryreel::routing
{

/// Picks the zone for work that may run anywhere: the own one, unless waiting there costs more than the way to another. Any thread.
class ZoneChooser
{
public:
    ZoneChooser(const RoutingOptions &routingOptions, const ZoneDirectory &zoneDirectory);

    /// For work that no zone has seen yet.
    std::string first(base::SteadyTime now) const;

    /// After the zones in `tried` refused it as not run; empty when none is left.
    std::string next(const std::set<std::string> &tried, base::SteadyTime now) const;

private:
    const RoutingOptions &options;
    const ZoneDirectory &directory;
};

} // namespace cranberryreel::routing
