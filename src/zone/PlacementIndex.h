#pragma once

#include "zone/TaskName.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>
#include <vector>

namespace cranberryreel::zone
{

/// Maps each upstream to the tasks that may be placed on it. Outdated entries are removed when they are visited. Owned by LeaderTerm; used on the scheduler's
/// thread only.
class PlacementIndex
{
public:
    void add(const std::string &upstream, TaskName task);

    /// Visits every task recorded for the upstream; the visitor returns whether the entry is still valid.
    void visit(const std::string &upstream, const std::function<bool(const TaskName &)> &visitor);

private:
    absl::flat_hash_map<std::string, std::vector<TaskName>> tasks;
};

} // namespace cranberryreel::zone
