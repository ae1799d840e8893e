#pragma once

#include "zone/TaskName.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>
#include <vector>

namespace cranberryreel::zone
{

/// Which tasks may be on which upstream. Names that no longer hold are dropped when they are visited. Owned by LeaderTerm; one thread.
class PlacedIndex
{
public:
    void note(const std::string &upstream, TaskName task);

    /// Visits every task noted for the upstream; the visitor answers whether it still is there.
    void visit(const std::string &upstream, const std::function<bool(const TaskName &)> &visitor);

private:
    absl::flat_hash_map<std::string, std::vector<TaskName>> tasks;
};

} // namespace cranberryreel::zone
