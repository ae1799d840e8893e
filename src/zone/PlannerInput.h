#pragma once

#include "config/Configuration.h"
#include "policy/Planner.h"

#include <set>
#include <string>
#include <vector>

namespace cranberryreel::zone
{

/// Converts the scheduling rules of the configuration to the planner's type.
policy::RulesView toRulesView(const config::Configuration &configuration);

/// Converts the registered VMs of one zone to the planner's type; `draining` holds the names of VMs that are being drained.
std::vector<policy::VmView> toVmViews(const config::Configuration &configuration, const std::string &zone, const std::set<std::string> &draining);

} // namespace cranberryreel::zone
