#pragma once

#include <string>

namespace cranberryreel::cli
{

/// Returns a bash script that completes the commands and options of the command table.
std::string bashCompletion();

} // namespace cranberryreel::cli
