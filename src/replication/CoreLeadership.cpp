#include "replication/Core.h"

#include "replication/Codec.h"
#include "replication/SteadyNanoseconds.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cranberryreel::replication
{

void Core::stepDown(base::SteadyTime now)
{
    this->becomeFollower(this->hard.term, "", now);
}

void Core::tickLeader(base::SteadyTime now)
{
    this->updateLease(now);
    if (now > this->majorityHeardAt + this->options.timings.electionMax && this->safety.stepsDownWithoutMajority()) {
        this->stepDown(now);
        return;
    }
    const Member *own = this->membership().find(this->options.ownVm);
    if (own != nullptr && own->witness && !this->handingOver && this->commit >= this->termStartIndex && this->safety.witnessOnlyHandsOver()) {
        this->handOver(now);
    }
    if (this->handingOver) {
        this->continueHandover(now);
    }
    if (this->currentRole != Role::Leader || now < this->nextHeartbeat) {
        return;
    }
    this->nextHeartbeat = now + this->options.timings.heartbeat;
    for (const std::string &vm : this->otherMembers()) {
        this->sendEntries(vm, true, now);
    }
}

base::ResultCode Core::changeMembers(const Membership &members, std::uint64_t &index, base::SteadyTime now)
{
    if (!this->leadsEstablished()) {
        return base::ResultCode::NotLeader;
    }
    const auto &all = members.all();
    const auto answering = std::count_if(all.begin(), all.end(), [this, now](const Member &member) { return this->answers(member, now); });
    if (!this->proposedMemberships.empty() || static_cast<std::size_t>(answering) < members.majority()) {
        return base::ResultCode::GroupUnavailable;
    }
    GroupRecord record;
    record.members = members;
    this->appendOwn(EntryKind::Members, Codec::encode(record));
    index = this->entries.lastIndex();
    return base::ResultCode::Ok;
}

bool Core::answers(const Member &member, base::SteadyTime now) const
{
    if (!this->counts(member)) {
        return false;
    }
    return member.vm == this->options.ownVm || now < fromNanoseconds(this->progresses.at(member.vm).answered) + this->options.timings.electionMin;
}

void Core::updateLease(base::SteadyTime now)
{
    const std::int64_t heard = this->majorityValue([this, now](const Member &member) -> std::int64_t {
        if (!this->counts(member)) {
            return 0;
        }
        return member.vm == this->options.ownVm ? toNanoseconds(now) : this->progresses.at(member.vm).answered;
    });
    if (heard > 0) {
        const base::SteadyTime heardAt = std::min(fromNanoseconds(heard), now);
        this->majorityHeardAt = std::max(this->majorityHeardAt, heardAt);
        this->leaseUntil = std::max(this->leaseUntil, heardAt + this->safety.lease(this->options.timings));
    }
}

bool Core::holdsLease(base::SteadyTime now) const
{
    return this->leadsEstablished() && !this->handingOver && now < this->leaseUntil;
}

base::SteadyTime Core::leaseEnd() const
{
    return this->leadsEstablished() && !this->handingOver ? this->leaseUntil : base::SteadyTime();
}

bool Core::leadsEstablished() const
{
    const Member *own = this->membership().find(this->options.ownVm);
    const bool idleWitness = own != nullptr && own->witness && this->safety.witnessOnlyHandsOver();
    return this->currentRole == Role::Leader && this->commit >= this->termStartIndex && !idleWitness;
}

bool Core::diskReachable(base::SteadyTime now) const
{
    const auto &members = this->membership().all();
    return std::any_of(members.begin(), members.end(), [this, now](const Member &member) { return member.hasDisk && this->answers(member, now); });
}

std::uint64_t Core::syncedIndex() const
{
    if (!this->safety.waitsForSyncedDisk()) {
        return std::numeric_limits<std::uint64_t>::max();
    }
    std::uint64_t index = 0;
    for (const Member &member : this->membership().all()) {
        if (member.hasDisk && this->counts(member)) {
            index = std::max(index, member.vm == this->options.ownVm ? this->syncedEntries : this->progresses.at(member.vm).match);
        }
    }
    return index;
}

void Core::handOver(base::SteadyTime now)
{
    if (this->currentRole != Role::Leader || this->handingOver) {
        return;
    }
    const auto recent = toNanoseconds(now - this->options.timings.electionMin);
    std::uint64_t best = 0;
    this->handoverTo.clear();
    for (const Member &member : this->membership().all()) {
        const auto found = this->progresses.find(member.vm);
        if (found == this->progresses.end() || member.witness || found->second.standing != Standing::Full || found->second.answered < recent) {
            continue;
        }
        if (this->handoverTo.empty() || found->second.match > best) {
            this->handoverTo = member.vm;
            best = found->second.match;
        }
    }
    if (this->handoverTo.empty()) {
        return;
    }
    this->handingOver = true;
    this->handoverDeadline = now + this->options.timings.electionMin;
    this->continueHandover(now);
}

void Core::continueHandover(base::SteadyTime now)
{
    const auto found = this->progresses.find(this->handoverTo);
    if (found != this->progresses.end() && found->second.match == this->entries.lastIndex()) {
        this->send(this->messageTo(this->handoverTo, MessageKind::Handover));
        this->stepDown(now);
        return;
    }
    if (now >= this->handoverDeadline) {
        this->handingOver = false;
    }
}

void Core::raiseTerm(std::uint64_t atLeast, base::SteadyTime now)
{
    if (this->currentRole != Role::Leader || this->hard.term >= atLeast) {
        return;
    }
    const std::uint64_t endedTerm = this->hard.term;
    this->stepDown(now);
    this->campaign(atLeast - 1, endedTerm, now);
}

} // namespace cranberryreel::replication
