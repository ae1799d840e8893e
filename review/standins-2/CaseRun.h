#pragma once

#include "Record.h"

#include <functional>
#include <string>

namespace cranberryreel::review
{

/// How a case ended; the exit status of its program.
enum class Outcome : int {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// What a case needs to run.
struct CaseRun {
    std::string folder; ///< Temporary.
    bool trouble = true;
    Record &record;
};

/// Runs a case: PROGRAM RECORD, with TROUBLE=0 for the run without the disruption. Creates and removes the temporary folder. Returns the exit status.
int runCase(int argc, char **argv, const std::function<Outcome(const CaseRun &)> &body);

} // namespace cranberryreel::review
