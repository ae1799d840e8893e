#pragma once

#include "config/Configuration.h"
#include "policy/Planner.h"

#include <set>
#include <string>
#include <vector>

namespace cranberryreel::zone
{

/// The rules in force, as the planner takes them.
policy::RulesView rulesOf(const config::Configuration &configuration);

/// The register's VMs of one zone, as the planner takes them.
std::vector<policy::VmView> vmsOf(const config::Configuration &configuration, const std::string &zone, const std::set<std::string> &draining);

} // namespace cranberryreel::zone
