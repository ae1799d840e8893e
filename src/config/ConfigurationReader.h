#pragma once

#include "config/Configuration.h"

#include <cstdint>
#include <memory>
#include <string>

namespace cranberryreel::config
{

/// Reads and checks a register and the rules that go with it; either may be empty. All or nothing: throws base::Error(RegisterInvalid or RulesInvalid)
/// that names section, key and line of everything wrong in the first of the two that has an error.
std::shared_ptr<const Configuration> readConfiguration(std::uint64_t revision, const std::string &registerText, const std::string &rulesText);

} // namespace cranberryreel::config
