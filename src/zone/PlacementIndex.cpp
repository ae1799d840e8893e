#include "zone/PlacementIndex.h"

#include <utility>

namespace cranberryreel::zone
{

void PlacementIndex::add(const std::string &upstream, TaskName task)
{
    this->tasks[upstream].push_back(std::move(task));
}

void PlacementIndex::visit(const std::string &upstream, const std::function<bool(const TaskName &)> &visitor)
{
    std::vector<TaskName> entries = std::exchange(this->tasks[upstream], {});
    std::vector<TaskName> valid;
    for (TaskName &task : entries) {
        if (visitor(task)) {
            valid.push_back(std::move(task));
        }
    }
    // The visitor may have caused new placements on this upstream.
    std::vector<TaskName> &current = this->tasks[upstream];
    valid.insert(valid.end(), std::make_move_iterator(current.begin()), std::make_move_iterator(current.end()));
    current = std::move(valid);
}

} // namespace cranberryreel::zone
