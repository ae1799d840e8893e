#include "replication/Core.h"

#include "replication/Codec.h"
#include "replication/SteadyNanoseconds.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cranberryreel::replication
{

void Core::becomeLeader(EntryKind openingKind, std::string data, base::SteadyTime now)
{
    this->currentRole = Role::Leader;
    this->leader = this->options.ownVm;
    this->votes.clear();
    this->presences.clear();
    this->trustedWithoutLeader = false;
    this->progresses.clear();
    this->standbys.clear();
    this->handingOver = false;
    this->lastMajorityContact = now;
    this->leaseUntil = now;
    this->appendOwn(openingKind, std::move(data));
    this->termStartIndex = this->entries.lastIndex();
    for (const std::string &vm : this->otherMembers()) {
        MemberProgress &progress = this->progressOf(vm, now);
        progress.next = this->termStartIndex;
        // Silence does not start anew with each leader; a VM that was never reported counts as silent since this member's start.
        const auto progressed = this->progressedAt.find(vm);
        progress.followsSince = progressed == this->progressedAt.end() ? this->startedAt : progressed->second;
        this->sendAppend(vm, progress, {this->entries.at(this->termStartIndex)}, now);
    }
    this->nextHeartbeat = now + this->options.timings.heartbeat;
}

std::optional<std::uint64_t> Core::propose(std::string command)
{
    const Member *own = this->membership().find(this->options.ownVm);
    const bool restrictedWitness = own != nullptr && own->witness && this->safety.witnessOnlyHandsOver();
    if (this->currentRole != Role::Leader || this->handingOver || restrictedWitness) {
        return std::nullopt;
    }
    this->appendOwn(EntryKind::Command, std::move(command));
    return this->entries.lastIndex();
}

void Core::flush(base::SteadyTime now)
{
    if (this->currentRole != Role::Leader) {
        return;
    }
    for (const std::string &vm : this->otherMembers()) {
        this->sendEntries(vm, false, now);
    }
    for (const std::string &vm : this->standbys) {
        // An admitted standby need not keep up with every entry; it gets them in batches with the heartbeats.
        if (this->isStandby(vm) && this->progressOf(vm, now).standing != Standing::Full) {
            this->sendEntries(vm, false, now);
        }
    }
}

std::vector<std::string> Core::followers() const
{
    std::vector<std::string> vms = this->otherMembers();
    std::copy_if(this->standbys.begin(), this->standbys.end(), std::back_inserter(vms), [this](const std::string &vm) { return this->isStandby(vm); });
    return vms;
}

void Core::setStandbys(const std::set<std::string> &vms, base::SteadyTime now)
{
    if (this->currentRole != Role::Leader) {
        return;
    }
    const std::set<std::string> before = std::exchange(this->standbys, vms);
    for (const std::string &vm : before) {
        if (vms.count(vm) == 0 && !this->isActiveMember(vm)) {
            this->progresses.erase(vm);
        }
    }
    for (const std::string &vm : vms) {
        if (before.count(vm) == 0 && this->isStandby(vm)) {
            this->sendEntries(vm, true, now);
        }
    }
}

/// A new follower is asked first where its log ends; it may hold most of the entries already.
MemberProgress &Core::progressOf(const std::string &vm, base::SteadyTime now)
{
    const auto [found, created] = this->progresses.try_emplace(vm);
    MemberProgress &progress = found->second;
    if (created) {
        progress.next = this->entries.lastIndex() + 1;
        progress.followsSince = now;
        progress.nextTarget = std::max(this->commit, this->termStartIndex);
        progress.nextTargetAt = now;
    }
    return progress;
}

/// Advances the time until which the follower certainly holds what was committed, from one index that it has reached to the next.
void Core::recordStored(MemberProgress &progress, base::SteadyTime now) const
{
    if (this->safety.countsTowardCommit(progress.standing) && progress.match >= progress.nextTarget) {
        progress.storedUntil = progress.nextTargetAt;
        progress.nextTarget = std::max(this->commit, this->termStartIndex);
        progress.nextTargetAt = now;
    }
}

void Core::sendEntries(const std::string &vm, bool heartbeat, base::SteadyTime now)
{
    MemberProgress &progress = this->progressOf(vm, now);
    const bool compacted = !this->entries.termAt(progress.next - 1).has_value();
    if ((compacted || progress.snapshot) && this->latestSnapshot) {
        this->sendSnapshotChunk(vm, progress, now);
        if (heartbeat) {
            this->sendAppend(vm, progress, {}, now);
        }
        return;
    }
    if (heartbeat) {
        this->sendAppend(vm, progress, {}, now);
    }
    if (progress.probing && !heartbeat) {
        return;
    }
    const std::size_t maxEntries = this->options.maxEntriesPerMessage;
    while (progress.next <= this->entries.lastIndex() && progress.next <= progress.match + this->options.maxUnacknowledgedEntries) {
        if (progress.probing) {
            return; // The heartbeat's reply reports the matching index.
        }
        std::vector<Entry> batch = this->entries.slice(progress.next, maxEntries, this->options.maxBytesPerMessage);
        const std::uint64_t nextIndex = batch.back().index + 1;
        this->sendAppend(vm, progress, std::move(batch), now);
        progress.next = nextIndex;
    }
}

void Core::sendAppend(const std::string &vm, MemberProgress &progress, std::vector<Entry> batch, base::SteadyTime now)
{
    Message message = this->messageTo(vm, MessageKind::Append);
    message.sequence = toNanoseconds(now);
    message.index = std::min(progress.next - 1, this->entries.lastIndex());
    if (const auto term = this->entries.termAt(message.index); term) {
        message.logTerm = *term;
    } else {
        message.index = this->entries.baseIndex();
        message.logTerm = this->entries.termAt(message.index).value_or(0);
    }
    message.commit = this->commit;
    message.total = this->entries.lastIndex();
    if (batch.empty()) {
        for (const auto &[member, known] : this->progresses) {
            if (const auto term = this->entries.termAt(known.match); term && known.match > 0) {
                message.acknowledged[member] = LogPosition{*term, known.match};
            }
        }
        if (const auto term = this->entries.termAt(this->syncedEntries); term) {
            message.acknowledged[this->options.ownVm] = LogPosition{*term, this->syncedEntries};
        }
    }
    message.entries = std::move(batch);
    this->send(std::move(message));
}

void Core::sendSnapshotChunk(const std::string &vm, MemberProgress &progress, base::SteadyTime now)
{
    const bool resend = now >= progress.chunkSentAt + 2 * this->options.timings.heartbeat;
    if (progress.snapshot && !resend) {
        return;
    }
    if (!progress.snapshot) {
        if (!this->encodedSnapshot) {
            this->encodedSnapshot = std::make_shared<const std::string>(Codec::encode(*this->latestSnapshot));
        }
        progress.snapshot = this->encodedSnapshot;
        progress.snapshotIndex = this->latestSnapshot->index;
        progress.snapshotTerm = this->latestSnapshot->term;
        progress.snapshotOffset = 0;
    }
    Message message = this->messageTo(vm, MessageKind::SnapshotChunk);
    message.sequence = toNanoseconds(now);
    message.index = progress.snapshotIndex;
    message.logTerm = progress.snapshotTerm;
    message.offset = progress.snapshotOffset;
    message.total = progress.snapshot->size();
    message.data = progress.snapshot->substr(progress.snapshotOffset, this->options.snapshotChunkBytes);
    progress.chunkSentAt = now;
    this->send(std::move(message));
}

bool Core::recordReply(MemberProgress &progress, const Message &message)
{
    if (progress.boot != message.boot) {
        auto &earlier = progress.earlierBoots;
        if (std::find(earlier.begin(), earlier.end(), message.boot) != earlier.end()) {
            return false;
        }
        if (progress.boot != 0) {
            earlier.push_back(progress.boot);
            progress.match = 0;
            progress.snapshot = nullptr;
            progress.probing = true;
            progress.admissionIndex = 0;
        }
        progress.boot = message.boot;
    }
    progress.standing = message.standing;
    progress.answeredSendTime = std::max(progress.answeredSendTime, message.sequence);
    return true;
}

void Core::handleAppendReply(const Message &message, base::SteadyTime now)
{
    if (message.term > this->currentHardState.term) {
        this->becomeFollower(message.term, "", now);
        return;
    }
    const auto found = this->progresses.find(message.from);
    if (this->currentRole != Role::Leader || message.term < this->currentHardState.term || found == this->progresses.end()) {
        return;
    }
    MemberProgress &progress = found->second;
    if (!this->recordReply(progress, message)) {
        return;
    }
    if (message.granted) {
        progress.match = std::max(progress.match, std::min(message.index, this->entries.lastIndex()));
        if (const auto term = this->entries.termAt(progress.match); term) {
            this->recordAcknowledged(message.from, LogPosition{*term, progress.match});
        }
        progress.next = std::max(progress.next, progress.match + 1);
        progress.probing = false;
        this->recordStored(progress, now);
        if (progress.snapshot && progress.match >= progress.snapshotIndex) {
            progress.snapshot = nullptr;
        }
    } else if (!progress.snapshot || message.index >= progress.snapshotIndex) {
        this->restartProbing(message.from, progress, std::min(message.index, this->entries.lastIndex()), now);
    }
    this->admitIfCaughtUp(message.from, progress);
    this->updateCommit();
    if (this->currentRole != Role::Leader) {
        return;
    }
    this->updateLease(now);
    this->flush(now);
    if (this->handingOver) {
        this->continueHandover(now);
    }
}

void Core::restartProbing(const std::string &vm, MemberProgress &progress, std::uint64_t index, base::SteadyTime now)
{
    const std::uint64_t next = std::max(progress.match, index) + 1;
    progress.probing = true;
    progress.snapshot = nullptr;
    if (next != progress.next) {
        progress.next = next;
        this->sendEntries(vm, true, now);
    }
}

void Core::handleSnapshotReply(const Message &message, base::SteadyTime now)
{
    const auto found = this->progresses.find(message.from);
    if (this->currentRole != Role::Leader || message.term != this->currentHardState.term || found == this->progresses.end()) {
        return;
    }
    MemberProgress &progress = found->second;
    if (!this->recordReply(progress, message) || !progress.snapshot || message.index != progress.snapshotIndex) {
        return;
    }
    const bool offsetChanged = message.offset != progress.snapshotOffset && message.offset < progress.snapshot->size();
    if (offsetChanged) {
        progress.snapshotOffset = message.offset;
        progress.chunkSentAt = base::SteadyTime();
        this->sendSnapshotChunk(message.from, progress, now);
    }
    this->updateLease(now);
}

void Core::admitIfCaughtUp(const std::string &vm, MemberProgress &progress)
{
    const MemberBoot member{vm, progress.boot};
    const bool follows = this->membership().find(vm) != nullptr || this->isStandby(vm);
    const bool mayAdmit = this->commit >= this->termStartIndex && follows;
    const bool caughtUp = this->safety.isCaughtUp(progress.match, this->commit, this->entries.lastIndex());
    if (!mayAdmit || !caughtUp || progress.standing == Standing::Full || progress.admissionIndex != 0 || this->committedRecord.admitted(member)) {
        return;
    }
    GroupRecord record;
    record.admittedBoots[member.vm] = member.boot;
    this->appendOwn(EntryKind::Admission, Codec::encode(record));
    progress.admissionIndex = this->entries.lastIndex();
}

bool Core::countsTowardMajority(const Member &member) const
{
    const bool own = member.vm == this->options.ownVm;
    const auto progress = this->progresses.find(member.vm);
    if (!own && progress == this->progresses.end()) {
        return false;
    }
    const Standing standing = own ? this->ownStanding : progress->second.standing;
    if (this->safety.countsTowardCommit(standing)) {
        return true;
    }
    const std::uint64_t boot = own ? this->options.boot : progress->second.boot;
    const auto formationBoot = this->formationBoots.find(member.vm);
    return formationBoot != this->formationBoots.end() && formationBoot->second == boot;
}

void Core::updateCommit()
{
    const std::int64_t reached = this->majorityValue([this](const Member &member) -> std::int64_t {
        if (!this->countsTowardMajority(member)) {
            return 0;
        }
        const bool own = member.vm == this->options.ownVm;
        return static_cast<std::int64_t>(own ? this->syncedEntries : this->progresses.at(member.vm).match);
    });
    const auto index = static_cast<std::uint64_t>(reached);
    if (index <= this->commit || !this->safety.commitsByCounting(this->entries.termAt(index).value_or(0), this->currentHardState.term)) {
        return;
    }
    const std::uint64_t before = this->commit;
    this->advanceCommit(index);
    for (std::uint64_t committedIndex = before + 1; committedIndex <= this->commit; ++committedIndex) {
        if (const EntryKind kind = this->entries.at(committedIndex).kind;
            kind == EntryKind::Admission || kind == EntryKind::Formation || kind == EntryKind::Members) {
            this->nextHeartbeat = base::SteadyTime(); // Sends the commit index at once to the members that count from here on.
        }
    }
    if (this->proposedMemberships.empty() && this->membership().find(this->options.ownVm) == nullptr) {
        this->stepDown(this->lastMajorityContact);
    }
}

} // namespace cranberryreel::replication
