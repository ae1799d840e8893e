#include "replication/PendingProposals.h"

#include <utility>

namespace cranberryreel::replication
{

void PendingProposals::add(std::uint64_t index, std::uint64_t term, Durability durability, ProposeCallback done)
{
    this->proposals[index] = Proposal{term, durability, std::move(done)};
}

void PendingProposals::completeApplied(std::uint64_t index, std::uint64_t term, std::string result, base::SteadyTime waitUntil)
{
    auto node = this->proposals.extract(index);
    if (node.empty()) {
        return;
    }
    Proposal &proposal = node.mapped();
    if (proposal.term != term) {
        proposal.done(ProposeResult{base::ResultCode::GroupUnavailable, ""});
    } else if (proposal.durability == Durability::SyncedDisk) {
        this->awaitingDisk.push_back(AwaitingDisk{index, std::move(result), std::move(proposal.done), waitUntil});
    } else {
        proposal.done(ProposeResult{base::ResultCode::Ok, std::move(result)});
    }
}

void PendingProposals::completeSynced(std::uint64_t index)
{
    while (!this->awaitingDisk.empty() && this->awaitingDisk.front().index <= index) {
        AwaitingDisk waiting = std::move(this->awaitingDisk.front());
        this->awaitingDisk.pop_front();
        waiting.done(ProposeResult{base::ResultCode::Ok, std::move(waiting.result)});
    }
}

void PendingProposals::expire(base::SteadyTime now)
{
    while (!this->awaitingDisk.empty() && this->awaitingDisk.front().until <= now) {
        const AwaitingDisk waiting = std::move(this->awaitingDisk.front());
        this->awaitingDisk.pop_front();
        waiting.done(ProposeResult{base::ResultCode::GroupUnavailable, ""});
    }
}

void PendingProposals::failAll()
{
    for (const auto &[index, proposal] : std::exchange(this->proposals, {})) {
        proposal.done(ProposeResult{base::ResultCode::GroupUnavailable, ""});
    }
    for (const AwaitingDisk &waiting : std::exchange(this->awaitingDisk, {})) {
        waiting.done(ProposeResult{base::ResultCode::GroupUnavailable, ""});
    }
}

} // namespace cranberryreel::replication
