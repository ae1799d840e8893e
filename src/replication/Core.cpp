#include "replication/Core.h"

#include "replication/Codec.h"

#include "cranberryreel/base/Error.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace cranberryreel::replication
{

Core::Core(CoreOptions coreOptions, const Recovered &recovered, const CoreSafety &coreSafety, base::SteadyTime now)
    : options(std::move(coreOptions))
    , safety(coreSafety)
    , random(this->options.seed)
    , startedAt(now)
    , lastLeaderContact(now)
    , nextProbe(now + this->options.timings.heartbeat)
{
    this->committedRecord.members = this->options.members;
    this->recover(recovered);
    this->resetElectionDeadline(now);
}

void Core::recover(const Recovered &recovered)
{
    this->currentHardState = recovered.hardState;
    this->ownStanding = this->currentHardState.full ? Standing::Unproven : Standing::Blank;
    if (recovered.snapshot) {
        this->latestSnapshot = recovered.snapshot;
        this->committedRecord = recovered.snapshot->record;
        this->commit = recovered.snapshot->index;
        this->entries.reset(LogPosition{recovered.snapshot->term, recovered.snapshot->index});
    }
    for (const Entry &entry : recovered.entries) {
        this->append(entry);
    }
    this->commitMemberships(this->currentHardState.membersCommitted);
    this->output = CoreOutput();
    this->syncedEntries = this->entries.lastIndex();
}

void Core::receive(const Message &message, base::SteadyTime now)
{
    using Handler = void (Core::*)(const Message &, base::SteadyTime);
    static const std::map<MessageKind, Handler> handlers{
        {MessageKind::PreVote, &Core::handlePreVote},
        {MessageKind::PreVoteReply, &Core::handlePreVoteReply},
        {MessageKind::Vote, &Core::handleVote},
        {MessageKind::VoteReply, &Core::handleVoteReply},
        {MessageKind::Append, &Core::handleAppend},
        {MessageKind::AppendReply, &Core::handleAppendReply},
        {MessageKind::SnapshotChunk, &Core::handleSnapshotChunk},
        {MessageKind::SnapshotReply, &Core::handleSnapshotReply},
        {MessageKind::Handover, &Core::handleHandover},
        {MessageKind::Read, &Core::handleRead},
        {MessageKind::Probe, &Core::handleProbe},
        {MessageKind::ProbeReply, &Core::handleProbeReply},
        {MessageKind::Form, &Core::handleForm},
        {MessageKind::FormReply, &Core::handleFormReply},
    };
    if (message.kind == MessageKind::ReadReply) {
        this->handleReadReply(message);
    } else if (const auto found = handlers.find(message.kind); found != handlers.end()) {
        (this->*found->second)(message, now);
    }
    this->answerReads(now);
}

void Core::tick(base::SteadyTime now)
{
    if (this->currentRole == Role::Leader) {
        this->tickLeader(now);
    } else {
        this->tickElection(now);
    }
    this->tickFormation(now);
    this->tickReads(now);
}

CoreOutput Core::takeOutput()
{
    CoreOutput taken = std::exchange(this->output, CoreOutput());
    const bool keepsEntries = taken.snapshot || !taken.entries.empty();
    taken.mustSync = taken.hardState || (keepsEntries && this->safety.syncsEntries());
    return taken;
}

base::SteadyTime Core::nextDeadline() const
{
    base::SteadyTime deadline = std::min(this->electionDeadline, this->nextProbe);
    if (this->currentRole == Role::Leader) {
        deadline = this->nextHeartbeat;
    }
    for (const PendingRead &read : this->pendingReads) {
        deadline = std::min({deadline, read.since + this->options.timings.requestLimit, read.lastSentAt + this->options.timings.heartbeat});
    }
    return deadline;
}

const Membership &Core::membership() const
{
    return this->proposedMemberships.empty() ? this->committedRecord.members : this->proposedMemberships.back().second;
}

std::vector<const Membership *> Core::activeMemberships() const
{
    if (this->proposedMemberships.empty()) {
        return {&this->committedRecord.members};
    }
    const std::size_t proposed = this->proposedMemberships.size();
    const Membership *latest = &this->proposedMemberships.back().second;
    const Membership *earlier = proposed > 1 ? &this->proposedMemberships[proposed - 2].second : &this->committedRecord.members;
    if (!this->safety.membershipNeedsOldMajority()) {
        return {latest};
    }
    return {latest, earlier};
}

std::vector<std::string> Core::otherMembers() const
{
    std::set<std::string> vms;
    for (const Membership *members : this->activeMemberships()) {
        for (const Member &member : members->all()) {
            vms.insert(member.vm);
        }
    }
    vms.erase(this->options.ownVm);
    return {vms.begin(), vms.end()};
}

bool Core::isActiveMember(const std::string &vm) const
{
    const std::vector<const Membership *> active = this->activeMemberships();
    return std::any_of(active.begin(), active.end(), [&vm](const Membership *members) { return members->find(vm) != nullptr; });
}

bool Core::isStandby(const std::string &vm) const
{
    return this->standbys.count(vm) > 0 && !this->isActiveMember(vm);
}

std::int64_t Core::majorityValue(const std::function<std::int64_t(const Member &)> &value) const
{
    std::optional<std::int64_t> lowest;
    for (const Membership *members : this->activeMemberships()) {
        std::vector<std::int64_t> values;
        for (const Member &member : members->all()) {
            values.push_back(value(member));
        }
        if (this->safety.countsStandbys()) {
            std::transform(
                this->standbys.begin(), this->standbys.end(), std::back_inserter(values), [&value](const std::string &vm) { return value(Member{vm}); });
        }
        std::sort(values.rbegin(), values.rend());
        const std::int64_t reached = values[members->majority() - 1];
        lowest = lowest ? std::min(*lowest, reached) : reached;
    }
    return lowest.value_or(0);
}

bool Core::isMajority(const VoteSet &voters) const
{
    return this->majorityValue([&voters](const Member &member) { return voters.count(member.vm); }) > 0;
}

Message Core::messageTo(const std::string &vm, MessageKind kind) const
{
    Message message;
    message.kind = kind;
    message.from = this->options.ownVm;
    message.to = vm;
    message.boot = this->options.boot;
    message.term = this->currentHardState.term;
    return message;
}

void Core::send(Message message)
{
    this->output.messages.push_back(std::move(message));
}

void Core::sendAfterSync(Message message)
{
    message.standing = this->ownStanding;
    auto &messages = this->safety.answersAfterSync() ? this->output.messagesAfterSync : this->output.messages;
    messages.push_back(std::move(message));
}

void Core::setTerm(std::uint64_t term)
{
    assert(term >= this->currentHardState.term);
    if (term > this->currentHardState.term) {
        this->currentHardState.term = term;
        this->currentHardState.votedFor.clear();
        this->output.hardState = this->currentHardState;
    }
}

void Core::becomeFollower(std::uint64_t term, const std::string &leaderVm, base::SteadyTime now)
{
    if (this->currentRole != Role::Follower || term > this->currentHardState.term) {
        this->resetElectionDeadline(now);
    }
    if (this->currentRole == Role::Leader) {
        for (const auto &[vm, progress] : this->progresses) {
            this->progressedAt[vm] = progress.silentSince();
        }
        this->lastLeaderContact = now;
        this->nextProbe = now + this->options.timings.formationSettle;
    }
    this->setTerm(term);
    this->currentRole = Role::Follower;
    this->leader = leaderVm;
    this->votes.clear();
    this->progresses.clear();
    this->standbys.clear();
    this->formationBoots.clear();
    this->handingOver = false;
}

void Core::recordLeader(const std::string &vm, base::SteadyTime now)
{
    this->leader = vm;
    this->lastLeaderContact = now;
    this->presences.clear();
    this->trustedWithoutLeader = false;
    this->nextProbe = now + this->options.timings.formationSettle;
    this->resetElectionDeadline(now);
}

bool Core::hasLeaderContact(base::SteadyTime now, std::chrono::milliseconds within) const
{
    if (this->currentRole == Role::Leader) {
        return now < this->lastMajorityContact + within;
    }
    return now < this->lastLeaderContact + within;
}

void Core::setStanding(Standing standing)
{
    this->ownStanding = standing;
    if (const bool full = standing != Standing::Blank; full != this->currentHardState.full) {
        this->currentHardState.full = full;
        this->output.hardState = this->currentHardState;
    }
}

/// Reads from a leader's heartbeat which VMs store what it sends.
void Core::recordProgress(const Message &message, base::SteadyTime now)
{
    for (const auto &[vm, position] : message.acknowledged) {
        const auto known = this->acknowledged.find(vm);
        if (position.index >= message.commit || known == this->acknowledged.end() || known->second < position) {
            this->progressedAt[vm] = now;
        }
        this->recordAcknowledged(vm, position);
    }
}

void Core::recordAcknowledged(const std::string &vm, LogPosition position)
{
    LogPosition &known = this->acknowledged[vm];
    known = std::max(known, position);
}

void Core::detectRolledBackDisk(const Message &message)
{
    const auto own = message.acknowledged.find(this->options.ownVm);
    const bool rolledBack = own != message.acknowledged.end() && this->entries.last() < own->second;
    if (rolledBack && this->ownStanding == Standing::Unproven && this->safety.distrustsRolledBackDisk()) {
        this->setStanding(Standing::Blank);
    }
}

void Core::appendOwn(EntryKind kind, std::string data)
{
    this->append(Entry{this->entries.lastIndex() + 1, this->currentHardState.term, kind, std::move(data)});
}

void Core::append(Entry entry)
{
    if (entry.kind == EntryKind::Members) {
        if (auto record = Codec::decodeRecord(entry.data); record && record->members.size() > 0) {
            this->proposedMemberships.emplace_back(entry.index, std::move(record->members));
        }
    }
    // When the group's first entry is read again, the settings may list other members than at the formation; the same holds on a VM that joins.
    if (entry.kind == EntryKind::Formation && entry.index == 1 && this->commit == 0) {
        if (auto record = Codec::decodeRecord(entry.data); record && record->members.size() > 0) {
            this->committedRecord.members = std::move(record->members);
        }
    }
    this->output.entries.push_back(entry);
    this->entries.append(std::move(entry));
}

void Core::truncateFrom(std::uint64_t index)
{
    this->entries.truncateFrom(index);
    this->syncedEntries = std::min(this->syncedEntries, index - 1);
    while (!this->proposedMemberships.empty() && this->proposedMemberships.back().first >= index) {
        this->proposedMemberships.pop_back();
    }
    while (!this->output.entries.empty() && this->output.entries.back().index >= index) {
        this->output.entries.pop_back();
    }
}

void Core::advanceCommit(std::uint64_t index)
{
    while (this->commit < index) {
        ++this->commit;
        const Entry &entry = this->entries.at(this->commit);
        this->applyToRecord(entry);
        this->output.committed.push_back(entry);
    }
    const MemberBoot own{this->options.ownVm, this->options.boot};
    if (this->ownStanding != Standing::Full && this->committedRecord.admitted(own)) {
        this->setStanding(Standing::Full);
    }
}

/// Marks the membership changes up to this index as committed; from then on only the last of them applies.
void Core::commitMemberships(std::uint64_t index)
{
    auto &proposed = this->proposedMemberships;
    while (!proposed.empty() && proposed.front().first <= index) {
        this->committedRecord.members = std::move(proposed.front().second);
        proposed.erase(proposed.begin());
    }
}

void Core::applyToRecord(const Entry &entry)
{
    if (entry.kind == EntryKind::Command || entry.kind == EntryKind::Barrier) {
        return;
    }
    auto change = Codec::decodeRecord(entry.data);
    if (!change) {
        return;
    }
    if (entry.kind == EntryKind::Members) {
        this->commitMemberships(entry.index);
        this->currentHardState.membersCommitted = entry.index;
        this->output.hardState = this->currentHardState;
    } else if (entry.kind == EntryKind::Admission) {
        for (const auto &[vm, boot] : change->admittedBoots) {
            this->committedRecord.admittedBoots[vm] = boot;
        }
    } else {
        this->committedRecord.admittedBoots = std::move(change->admittedBoots);
        this->committedRecord.formationTerm = entry.term;
    }
}

std::shared_ptr<const Snapshot> Core::compact(std::string state, std::uint64_t retainedEntries, std::size_t retainedBytes)
{
    assert(this->output.committed.empty());
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->index = this->commit;
    snapshot->term = this->entries.termAt(this->commit).value_or(0);
    snapshot->record = this->committedRecord;
    snapshot->state = std::move(state);
    this->latestSnapshot = snapshot;
    this->encodedSnapshot = nullptr;
    this->entries.compactTo(this->entries.retainedBaseIndex(this->commit, retainedEntries, retainedBytes));
    return snapshot;
}

void Core::markSynced(std::uint64_t index, base::SteadyTime now)
{
    this->syncedEntries = std::max(this->syncedEntries, std::min(index, this->entries.lastIndex()));
    if (this->currentRole == Role::Leader) {
        this->updateCommit();
        this->updateLease(now);
        this->answerReads(now);
    }
}

std::string Core::unavailableReason(base::SteadyTime now) const
{
    if (this->currentRole == Role::Leader) {
        if (this->holdsLease(now)) {
            return "";
        }
        return this->membership().find(this->options.ownVm) != nullptr && this->handingOver ? "Leadership is being handed over."
                                                                                            : "The leader does not reach a majority of the members.";
    }
    if (!this->leader.empty() && this->hasLeaderContact(now, this->options.timings.electionMax)) {
        return "";
    }
    std::string absent;
    std::string absentDisks;
    for (const Member &member : this->membership().all()) {
        if (member.vm != this->options.ownVm && this->presences.count(member.vm) == 0) {
            absent += " " + member.vm;
            absentDisks += member.hasDisk ? " " + member.vm : "";
        }
    }
    if (this->ownStanding == Standing::Blank) {
        return absentDisks.empty()
            ? "No leader has admitted this member, which has no stored log; no answer from:" + (absent.empty() ? " nobody" : absent) + "."
            : "No leader; a cold start needs the members with a disk; no answer from:" + absentDisks + ".";
    }
    return "No leader; no answer from members:" + (absent.empty() ? " nobody" : absent) + ".";
}

} // namespace cranberryreel::replication
