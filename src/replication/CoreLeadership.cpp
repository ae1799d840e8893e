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
    this->becomeFollower(this->currentHardState.term, "", now);
}

void Core::tickLeader(base::SteadyTime now)
{
    this->updateLease(now);
    if (now > this->lastMajorityContact + this->options.timings.electionMax && this->safety.stepsDownWithoutMajority()) {
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
    for (const std::string &vm : this->followers()) {
        this->sendEntries(vm, true, now);
    }
}

std::vector<PeerHealth> Core::peerHealth(base::SteadyTime now) const
{
    std::vector<PeerHealth> peers;
    if (this->currentRole != Role::Leader) {
        return peers;
    }
    const auto add = [&](const std::string &vm, bool voter) {
        PeerHealth health{vm, voter, this->countsTowardMajority(Member{vm}), {}};
        if (const auto found = this->progresses.find(vm); found != this->progresses.end()) {
            const MemberProgress &progress = found->second;
            health.counts = health.counts && progress.storedUntil != base::SteadyTime();
            const base::SteadyTime answered = std::max(fromNanoseconds(progress.answeredSendTime), progress.followsSince);
            health.unansweredFor = std::chrono::duration_cast<std::chrono::milliseconds>(now - answered);
            health.silentFor = std::chrono::duration_cast<std::chrono::milliseconds>(now - progress.silentSince());
        }
        peers.push_back(std::move(health));
    };
    for (const Member &member : this->membership().all()) {
        add(member.vm, true);
    }
    for (const std::string &vm : this->standbys) {
        if (this->isStandby(vm)) {
            add(vm, false);
        }
    }
    return peers;
}

base::ResultCode Core::changeMembers(const Membership &members, std::uint64_t &index, base::SteadyTime now)
{
    if (!this->isEstablishedLeader()) {
        return base::ResultCode::NotLeader;
    }
    const auto &all = members.all();
    const auto responsive = std::count_if(all.begin(), all.end(), [this, now](const Member &member) { return this->isResponsive(member, now); });
    if (!this->proposedMemberships.empty() || static_cast<std::size_t>(responsive) < members.majority()) {
        return base::ResultCode::GroupUnavailable;
    }
    GroupRecord record;
    record.members = members;
    this->appendOwn(EntryKind::Members, Codec::encode(record));
    index = this->entries.lastIndex();
    return base::ResultCode::Ok;
}

bool Core::isResponsive(const Member &member, base::SteadyTime now) const
{
    if (!this->countsTowardMajority(member)) {
        return false;
    }
    return member.vm == this->options.ownVm || now < fromNanoseconds(this->progresses.at(member.vm).answeredSendTime) + this->options.timings.electionMin;
}

void Core::updateLease(base::SteadyTime now)
{
    const std::int64_t answeredNanoseconds = this->majorityValue([this, now](const Member &member) -> std::int64_t {
        if (!this->countsTowardMajority(member)) {
            return 0;
        }
        return member.vm == this->options.ownVm ? toNanoseconds(now) : this->progresses.at(member.vm).answeredSendTime;
    });
    if (answeredNanoseconds > 0) {
        const base::SteadyTime contactAt = std::min(fromNanoseconds(answeredNanoseconds), now);
        this->lastMajorityContact = std::max(this->lastMajorityContact, contactAt);
        this->leaseUntil = std::max(this->leaseUntil, contactAt + this->safety.lease(this->options.timings));
    }
}

bool Core::holdsLease(base::SteadyTime now) const
{
    return this->isEstablishedLeader() && !this->handingOver && now < this->leaseUntil;
}

base::SteadyTime Core::leaseEnd() const
{
    return this->isEstablishedLeader() && !this->handingOver ? this->leaseUntil : base::SteadyTime();
}

bool Core::isEstablishedLeader() const
{
    const Member *own = this->membership().find(this->options.ownVm);
    const bool restrictedWitness = own != nullptr && own->witness && this->safety.witnessOnlyHandsOver();
    return this->currentRole == Role::Leader && this->commit >= this->termStartIndex && !restrictedWitness;
}

bool Core::diskReachable(base::SteadyTime now) const
{
    const auto &members = this->membership().all();
    return std::any_of(members.begin(), members.end(), [this, now](const Member &member) { return member.hasDisk && this->isResponsive(member, now); });
}

std::uint64_t Core::syncedIndex() const
{
    if (!this->safety.waitsForSyncedDisk()) {
        return std::numeric_limits<std::uint64_t>::max();
    }
    std::uint64_t index = 0;
    for (const Member &member : this->membership().all()) {
        if (member.hasDisk && this->countsTowardMajority(member)) {
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
    this->handoverTarget.clear();
    for (const Member &member : this->membership().all()) {
        const auto found = this->progresses.find(member.vm);
        if (found == this->progresses.end() || member.witness || found->second.standing != Standing::Full || found->second.answeredSendTime < recent) {
            continue;
        }
        if (this->handoverTarget.empty() || found->second.match > best) {
            this->handoverTarget = member.vm;
            best = found->second.match;
        }
    }
    if (this->handoverTarget.empty()) {
        return;
    }
    this->handingOver = true;
    this->handoverDeadline = now + this->options.timings.electionMin;
    this->continueHandover(now);
}

void Core::continueHandover(base::SteadyTime now)
{
    const auto found = this->progresses.find(this->handoverTarget);
    if (found != this->progresses.end() && found->second.match == this->entries.lastIndex()) {
        this->send(this->messageTo(this->handoverTarget, MessageKind::Handover));
        this->stepDown(now);
        return;
    }
    if (now >= this->handoverDeadline) {
        this->handingOver = false;
    }
}

void Core::raiseTerm(std::uint64_t atLeast, base::SteadyTime now)
{
    if (this->currentRole != Role::Leader || this->currentHardState.term >= atLeast) {
        return;
    }
    const std::uint64_t endedTerm = this->currentHardState.term;
    this->stepDown(now);
    this->startElection(atLeast - 1, endedTerm, now);
}

} // namespace cranberryreel::replication
