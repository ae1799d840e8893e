#pragma once

#include "cli/Command.h"

#include <string>

namespace cranberryreel::cli
{

/// Returns the help of one command with all its options.
std::string commandHelp(const Command &command);

/// Returns the help of the whole tool: one line for each command.
std::string overviewHelp();

} // namespace cranberryreel::cli
