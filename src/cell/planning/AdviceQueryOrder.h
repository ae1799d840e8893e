#pragma once

#include "cell/planning/AdviceQueryPlanner.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell::planning
{

/// Sorts queries into the order in which they are dispatched: queues alternate, those with the fewest pending queries first, and prefetch queries come last.
/// Load pattern: a new leader finds hundreds of waiting gangs whose queries take a second each. In order of priority they would occupy every VM for many
/// seconds, and work of other queues could not start even on services with free capacity.
/// Where few VMs can send queries, one is sent at a time and each queue starts anew with none pending: so a queue that has waited too long comes first.
/// `pendingQueries` holds the number of unanswered queries by queue, `overdueQueues` the queues that have waited too long, with the time that they have.
void interleaveByQueue(std::vector<AdviceQuery> &queries,
                       const std::map<std::string, std::size_t> &pendingQueries,
                       const std::map<std::string, std::chrono::milliseconds> &overdueQueues);

} // namespace cranberryreel::cell::planning
