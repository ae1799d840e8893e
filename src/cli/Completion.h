#pragma once

#include <string>

namespace cranberryreel::cli
{

/// A script for bash that completes the tool's commands and options, made from the command table.
std::string bashCompletion();

} // namespace cranberryreel::cli
