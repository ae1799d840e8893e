#include "cell/RemovedUpstreams.h"

namespace cranberryreel::cell
{

void RemovedUpstreams::add(const std::string &id)
{
    this->take(id);
    this->positions[id] = this->nextPosition;
    this->idsByPosition[this->nextPosition] = id;
    ++this->nextPosition;
    if (this->positions.size() > Limit) {
        this->positions.erase(this->idsByPosition.begin()->second);
        this->idsByPosition.erase(this->idsByPosition.begin());
    }
}

bool RemovedUpstreams::take(const std::string &id)
{
    const auto found = this->positions.find(id);
    if (found == this->positions.end()) {
        return false;
    }
    this->idsByPosition.erase(found->second);
    this->positions.erase(found);
    return true;
}

std::vector<std::string> RemovedUpstreams::ids() const
{
    std::vector<std::string> ids;
    ids.reserve(this->idsByPosition.size());
    for (const auto &[position, id] : this->idsByPosition) {
        ids.push_back(id);
    }
    return ids;
}

} // namespace cranberryreel::cell
