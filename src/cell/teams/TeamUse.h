#pragma once

#include "cell/planning/Capacity.h"

#include <string>

namespace cranberryreel::cell::teams
{

/// What one team has running in the cell, and what it may have. A plain value; a plan carries one for each team.
struct TeamUse {
    std::string name; ///< Empty for all jobs without a team.
    double weight = 0; ///< The mean of the teams' weights where the rules name no such team.
    planning::Capacity running; ///< Of the recorded runs and of the starts planned so far.
    planning::Capacity limit; ///< 0 in a dimension: no limit.
};

} // namespace cranberryreel::cell::teams
