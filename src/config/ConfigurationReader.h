#pragma once

#include "config/Configuration.h"

#include <cstdint>
#include <memory>
#include <string>

namespace cranberryreel::config
{

/// Parses and validates a register and its rules; either text may be empty. Throws base::Error(RegisterInvalid or RulesInvalid) that names section, key and
/// line of every problem in the first of the two texts that has one.
std::shared_ptr<const Configuration> readConfiguration(std::uint64_t revision, const std::string &registerText, const std::string &rulesText);

} // namespace cranberryreel::config
