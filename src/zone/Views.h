#pragma once

#include "config/Configuration.h"
#include "policy/Planner.h"
#include "zone/SchedulerContext.h"
#include "zone/UpstreamFleet.h"

#include <optional>
#include <string>

namespace cranberryreel::zone
{

/// What the active scheduler shows operators and partners, as JSON. A short-lived view over one term's parts.
struct Views {
    const SchedulerContext &context;
    const policy::Planner &planner;
    const UpstreamFleet &fleet;
    const config::Configuration &configuration;
    bool recovered = false;

    /// `what` names the view: upstreams, jobs, shares, zones, explain. Nothing for an unknown view, or an unknown id to explain.
    std::optional<std::string> render(const std::string &what, const std::string &filter) const;

private:
    std::string upstreams(const std::string &filter) const;
    std::string jobs(const std::string &partner) const;
    std::string shares(const std::string &partner) const;
    std::string zones(const std::string &filter) const;
    std::optional<std::string> explain(const std::string &id) const;
};

} // namespace cranberryreel::zone
