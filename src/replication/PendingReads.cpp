#include "replication/PendingReads.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cranberryreel::replication
{

std::uint64_t PendingReads::add(Done done)
{
    this->asked.emplace(++this->lastId, std::move(done));
    return this->lastId;
}

void PendingReads::answered(const ReadOutcome &outcome, std::uint64_t applied)
{
    auto node = this->asked.extract(outcome.id);
    if (node.empty()) {
        return;
    }
    if (outcome.code == base::ResultCode::Ok && outcome.index > applied) {
        this->waiting.push_back(Waiting{outcome.index, std::move(node.mapped())});
    } else {
        node.mapped()(outcome.code);
    }
}

void PendingReads::applied(std::uint64_t index)
{
    const auto due = std::stable_partition(this->waiting.begin(), this->waiting.end(), [index](const Waiting &read) { return read.index > index; });
    const std::vector<Waiting> ready(std::make_move_iterator(due), std::make_move_iterator(this->waiting.end()));
    this->waiting.erase(due, this->waiting.end());
    for (const Waiting &read : ready) {
        read.done(base::ResultCode::Ok);
    }
}

void PendingReads::abandon()
{
    for (const auto &[id, done] : std::exchange(this->asked, {})) {
        done(base::ResultCode::GroupUnavailable);
    }
    for (const Waiting &read : std::exchange(this->waiting, {})) {
        read.done(base::ResultCode::GroupUnavailable);
    }
}

} // namespace cranberryreel::replication
