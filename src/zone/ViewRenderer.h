#pragma once

#include "config/Configuration.h"
#include "policy/Planner.h"
#include "zone/SchedulerContext.h"
#include "zone/UpstreamFleet.h"

#include <optional>
#include <string>

namespace cranberryreel::zone
{

/// Renders the active scheduler's state for operators and partners, as JSON. Created for one call and used on the scheduler's thread only.
struct ViewRenderer {
    const SchedulerContext &context;
    const policy::Planner &planner;
    const UpstreamFleet &fleet;
    const config::Configuration &configuration;
    bool recovered = false;

    /// `what` is the name of the view: upstreams, jobs, shares, zones or explain. Returns nothing for an unknown view, or for explain with an unknown id.
    std::optional<std::string> render(const std::string &what, const std::string &filter) const;

private:
    std::string upstreams(const std::string &filter) const;
    std::string jobs(const std::string &partner) const;
    std::string shares(const std::string &partner) const;
    std::string zones(const std::string &filter) const;
    std::optional<std::string> explain(const std::string &id) const;
};

} // namespace cranberryreel::zone
