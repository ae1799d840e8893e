#pragma once

#include "scenario/Script.h"

#include <string>

namespace cranberryreel::scenario
{

/// Parses the text of a .scenario file; docs/SCENARIOS.md describes the language. Throws base::Error(UsageError) with the line number.
Script parseScript(const std::string &name, const std::string &text);

} // namespace cranberryreel::scenario
