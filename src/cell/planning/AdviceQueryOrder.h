#pragma once

#include "cell/planning/AdviceQueryPlanner.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell::planning
{

/// Sorts queries into the order in which they are dispatched: queues alternate, those with the fewest pending queries first, and prefetch queries come last.
/// Load pattern: a new leader finds hundreds of waiting gangs whose queries take a second each. In order of priority they would occupy every VM for many
/// seconds, and work of other queues could not start even on services with free capacity.
/// `pendingQueries` holds the number of unanswered queries by queue.
void interleaveByQueue(std::vector<AdviceQuery> &queries, const std::map<std::string, std::size_t> &pendingQueries);

} // namespace cranberryreel::cell::planning
