#include "replication/PendingReads.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cranberryreel::replication
{

std::uint64_t PendingReads::add(Callback done)
{
    this->awaitingIndex.emplace(++this->lastId, std::move(done));
    return this->lastId;
}

void PendingReads::handleOutcome(const ReadOutcome &outcome, std::uint64_t applied)
{
    auto node = this->awaitingIndex.extract(outcome.id);
    if (node.empty()) {
        return;
    }
    if (outcome.code == base::ResultCode::Ok && outcome.index > applied) {
        this->awaitingApply.push_back(AwaitingApply{outcome.index, std::move(node.mapped())});
    } else {
        node.mapped()(outcome.code);
    }
}

void PendingReads::completeApplied(std::uint64_t index)
{
    const auto due =
        std::stable_partition(this->awaitingApply.begin(), this->awaitingApply.end(), [index](const AwaitingApply &read) { return read.index > index; });
    const std::vector<AwaitingApply> ready(std::make_move_iterator(due), std::make_move_iterator(this->awaitingApply.end()));
    this->awaitingApply.erase(due, this->awaitingApply.end());
    for (const AwaitingApply &read : ready) {
        read.done(base::ResultCode::Ok);
    }
}

void PendingReads::failAll()
{
    for (const auto &[id, done] : std::exchange(this->awaitingIndex, {})) {
        done(base::ResultCode::GroupUnavailable);
    }
    for (const AwaitingApply &read : std::exchange(this->awaitingApply, {})) {
        read.done(base::ResultCode::GroupUnavailable);
    }
}

} // namespace cranberryreel::replication
