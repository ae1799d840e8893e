#pragma once

#include "scenario/Journal.h"
#include "scenario/Work.h"

#include <map>
#include <string>
#include <vector>

namespace cranberryreel::scenario
{

/// The most that may run on a VM at once.
struct VmCapacity {
    model::Resources size;
    unsigned slots = 0;
};

// Checks that must pass after every scenario. They compare the runs at the upstreams with the responses to the callers; each returns one sentence per
// violation.

/// Attempts of one task that overlapped.
std::vector<std::string> findConcurrentRuns(const std::vector<RunInterval> &intervals);
/// Non-repeatable work that started too often, and single tasks whose runs overlapped.
std::vector<std::string> findRepeatedRuns(const std::vector<RunInterval> &intervals, const std::vector<Work> &works);
/// Responses that contradict what ran.
std::vector<std::string> findFalseResponses(const std::vector<RunInterval> &intervals, const std::vector<Work> &works);
/// Work whose caller got no answer.
std::vector<std::string> findUnanswered(const std::vector<Work> &works);
/// VMs on which more ran at once than their capacity.
std::vector<std::string> findOvercommitted(const std::vector<RunInterval> &intervals, const std::map<std::string, VmCapacity> &capacities);

} // namespace cranberryreel::scenario
