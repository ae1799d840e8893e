#include "replication/Core.h"

#include "replication/Codec.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::replication
{

bool Core::acceptLeader(const Message &message, base::SteadyTime now)
{
    const bool stale = message.term < this->currentHardState.term;
    const bool leadsThatTerm = this->currentRole == Role::Leader && message.term == this->currentHardState.term;
    if (stale) {
        Message reply = this->messageTo(message.from, MessageKind::AppendReply);
        reply.sequence = message.sequence;
        this->sendAfterSync(std::move(reply));
    }
    if (stale || leadsThatTerm) {
        return false;
    }
    if (message.term > this->currentHardState.term || this->currentRole != Role::Follower) {
        this->becomeFollower(message.term, message.from, now);
    }
    this->recordLeader(message.from, now);
    return true;
}

void Core::handleAppend(const Message &message, base::SteadyTime now)
{
    if (!this->acceptLeader(message, now)) {
        return;
    }
    this->recordProgress(message, now);
    this->detectRolledBackDisk(message);
    Message reply = this->messageTo(message.from, MessageKind::AppendReply);
    reply.sequence = message.sequence;
    if (this->contradictsCommitted(message)) {
        this->resetToBlank();
        reply.boot = this->options.boot;
        this->sendAfterSync(std::move(reply));
        return;
    }
    const std::uint64_t matched = message.index + message.entries.size();
    if (matched < this->entries.baseIndex()) {
        reply.index = this->entries.baseIndex();
        this->sendAfterSync(std::move(reply));
        return;
    }
    const bool beforeBase = message.index < this->entries.baseIndex();
    if (!beforeBase && !this->safety.logContinues(this->entries.termAt(message.index), message.logTerm)) {
        reply.index = this->lastPossibleMatch(message);
        this->sendAfterSync(std::move(reply));
        return;
    }
    this->appendReceived(message);
    reply.granted = true;
    reply.index = std::min(matched, this->entries.lastIndex());
    if (const std::uint64_t committable = std::min(message.commit, reply.index); committable > this->commit) {
        this->advanceCommit(committable);
    }
    this->sendAfterSync(std::move(reply));
}

bool Core::contradictsCommitted(const Message &message) const
{
    const auto differs = [this](std::uint64_t index, std::uint64_t term) {
        const auto own = this->entries.termAt(index);
        return index <= this->commit && own.has_value() && *own != term;
    };
    const bool leaderIsBehind = message.total < this->commit && this->entries.termAt(this->commit).value_or(0) < message.term;
    return leaderIsBehind || differs(message.index, message.logTerm)
        || std::any_of(message.entries.begin(), message.entries.end(), [&differs](const Entry &entry) { return differs(entry.index, entry.term); });
}

void Core::appendReceived(const Message &message)
{
    for (const Entry &entry : message.entries) {
        if (entry.index <= this->commit) {
            continue;
        }
        if (const auto own = this->entries.termAt(entry.index); own && *own == entry.term) {
            continue;
        }
        if (entry.index > this->entries.lastIndex() + 1) {
            return;
        }
        if (entry.index <= this->entries.lastIndex()) {
            this->truncateFrom(entry.index);
        }
        this->append(entry);
    }
}

std::uint64_t Core::lastPossibleMatch(const Message &message) const
{
    if (message.index > this->entries.lastIndex()) {
        return this->entries.lastIndex();
    }
    const auto differing = this->entries.termAt(message.index);
    std::uint64_t index = message.index;
    while (index > this->entries.baseIndex() && this->entries.termAt(index) == differing) {
        --index;
    }
    return index;
}

void Core::resetToBlank()
{
    // A cold start formed the group without entries that this member had committed, so this member restarts as a blank one.
    this->entries.reset(LogPosition());
    this->output.entries.clear();
    this->output.committed.clear();
    this->commit = 0;
    this->syncedEntries = 0;
    this->currentHardState.membersCommitted = 0;
    this->proposedMemberships.clear();
    this->committedRecord = GroupRecord();
    this->committedRecord.members = this->options.members;
    this->latestSnapshot = nullptr;
    this->encodedSnapshot = nullptr;
    this->setStanding(Standing::Blank);
    this->output.hardState = this->currentHardState;
    this->options.boot = this->random();
    auto empty = std::make_shared<Snapshot>();
    empty->record = this->committedRecord;
    this->output.snapshot = std::move(empty);
}

void Core::handleSnapshotChunk(const Message &message, base::SteadyTime now)
{
    if (!this->acceptLeader(message, now)) {
        return;
    }
    if (message.index <= this->commit) {
        Message reply = this->messageTo(message.from, MessageKind::AppendReply);
        reply.sequence = message.sequence;
        reply.index = this->commit;
        this->sendAfterSync(std::move(reply));
        return;
    }
    const LogPosition position{message.logTerm, message.index};
    if (!(position == this->incomingPosition)) {
        this->incomingSnapshot.clear();
        this->incomingPosition = position;
    }
    const bool follows = message.offset == this->incomingSnapshot.size();
    if (follows && message.total <= this->options.maxSnapshotBytes && message.offset + message.data.size() <= message.total) {
        this->incomingSnapshot += message.data;
    }
    if (!this->incomingSnapshot.empty() && this->incomingSnapshot.size() == message.total) {
        auto snapshot = Codec::decodeSnapshot(this->incomingSnapshot);
        this->incomingSnapshot.clear();
        this->incomingPosition = LogPosition();
        if (snapshot && snapshot->index == message.index && snapshot->term == message.logTerm && snapshot->record.members.size() > 0) {
            this->installSnapshot(std::make_shared<const Snapshot>(std::move(*snapshot)));
            Message reply = this->messageTo(message.from, MessageKind::AppendReply);
            reply.sequence = message.sequence;
            reply.granted = true;
            reply.index = this->commit;
            this->sendAfterSync(std::move(reply));
            return;
        }
    }
    Message reply = this->messageTo(message.from, MessageKind::SnapshotReply);
    reply.sequence = message.sequence;
    reply.index = message.index;
    reply.offset = this->incomingSnapshot.size();
    this->sendAfterSync(std::move(reply));
}

void Core::installSnapshot(const std::shared_ptr<const Snapshot> &snapshot)
{
    this->entries.reset(LogPosition{this->safety.snapshotTerm(snapshot->term), snapshot->index});
    this->output.entries.clear();
    this->output.committed.clear();
    this->output.snapshot = snapshot;
    this->latestSnapshot = snapshot;
    this->encodedSnapshot = nullptr;
    this->committedRecord = snapshot->record;
    this->proposedMemberships.clear();
    this->commit = snapshot->index;
    this->syncedEntries = snapshot->index;
    this->advanceCommit(this->commit);
}

} // namespace cranberryreel::replication
