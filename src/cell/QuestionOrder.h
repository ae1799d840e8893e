#pragma once

#include "cell/QuestionPlanner.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// Puts questions into the order in which VMs are found for them: queues take turns, those with the fewest questions under way first;
/// what is asked ahead comes last.
/// Load pattern: a new leader finds hundreds of gangs waiting whose questions take a second each. In the order of priority they take every VM for many
/// seconds, and work of other queues, on services with room to spare, cannot start. Pure.
/// `underWay`: questions without an answer yet, by queue.
void takeTurns(std::vector<AdviceWish> &wishes, const std::map<std::string, std::size_t> &underWay);

} // namespace cranberryreel::cell
