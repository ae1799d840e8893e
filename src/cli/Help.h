#pragma once

#include "cli/Command.h"

#include <string>

namespace cranberryreel::cli
{

std::string helpOf(const Command &command);

/// The tool's own help: all commands in a line each.
std::string overview();

} // namespace cranberryreel::cli
