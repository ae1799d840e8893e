#include "zone/PlacedIndex.h"

#include <utility>

namespace cranberryreel::zone
{

void PlacedIndex::note(const std::string &upstream, TaskName task)
{
    this->tasks[upstream].push_back(std::move(task));
}

void PlacedIndex::visit(const std::string &upstream, const std::function<bool(const TaskName &)> &visitor)
{
    std::vector<TaskName> noted = std::exchange(this->tasks[upstream], {});
    std::vector<TaskName> kept;
    for (TaskName &task : noted) {
        if (visitor(task)) {
            kept.push_back(std::move(task));
        }
    }
    // The visitor may have led to new placements here.
    std::vector<TaskName> &current = this->tasks[upstream];
    kept.insert(kept.end(), std::make_move_iterator(current.begin()), std::make_move_iterator(current.end()));
    current = std::move(kept);
}

} // namespace cranberryreel::zone
