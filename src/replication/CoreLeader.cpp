#include "replication/Core.h"

#include "replication/Codec.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cranberryreel::replication
{

namespace
{

/// A member this close to the end of the log is caught up enough to be admitted.
constexpr std::uint64_t AdmissionGapEntries = 64;

std::int64_t nanoseconds(base::SteadyTime time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

base::SteadyTime fromNanoseconds(std::int64_t count)
{
    return base::SteadyTime(std::chrono::duration_cast<base::SteadyTime::duration>(std::chrono::nanoseconds(count)));
}

} // namespace

void Core::becomeLeader(EntryKind opening, std::string data, base::SteadyTime now)
{
    this->currentRole = Role::Leader;
    this->leader = this->options.ownVm;
    this->votes.clear();
    this->presences.clear();
    this->progresses.clear();
    this->handingOver = false;
    this->majorityHeardAt = now;
    this->leaseUntil = now;
    this->appendOwn(opening, std::move(data));
    this->termStartIndex = this->entries.lastIndex();
    this->flush(now);
    this->nextHeartbeat = now + this->options.timings.heartbeat;
}

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

std::optional<std::uint64_t> Core::propose(std::string command)
{
    const Member *own = this->membership().find(this->options.ownVm);
    const bool idleWitness = own != nullptr && own->witness && this->safety.witnessOnlyHandsOver();
    if (this->currentRole != Role::Leader || this->handingOver || idleWitness) {
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

void Core::sendEntries(const std::string &vm, bool heartbeat, base::SteadyTime now)
{
    MemberProgress &progress = this->progresses[vm];
    if (progress.boot == 0 && progress.next == 1 && progress.match == 0 && progress.probing) {
        progress.next = std::max(progress.next, this->termStartIndex);
    }
    const bool compacted = !this->entries.termAt(progress.next - 1).has_value();
    if ((compacted || progress.snapshot) && this->latestSnapshot) {
        this->sendChunk(vm, progress, now);
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
            return; // The heartbeat's answer tells where to go on.
        }
        std::vector<Entry> batch = this->entries.slice(progress.next, maxEntries, this->options.maxBytesPerMessage);
        const std::uint64_t following = batch.back().index + 1;
        this->sendAppend(vm, progress, std::move(batch), now);
        progress.next = following;
    }
}

void Core::sendAppend(const std::string &vm, MemberProgress &progress, std::vector<Entry> batch, base::SteadyTime now)
{
    Message message = this->messageTo(vm, MessageKind::Append);
    message.sequence = nanoseconds(now);
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

void Core::sendChunk(const std::string &vm, MemberProgress &progress, base::SteadyTime now)
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
    message.sequence = nanoseconds(now);
    message.index = progress.snapshotIndex;
    message.logTerm = progress.snapshotTerm;
    message.offset = progress.snapshotOffset;
    message.total = progress.snapshot->size();
    message.data = progress.snapshot->substr(progress.snapshotOffset, this->options.snapshotChunkBytes);
    progress.chunkSentAt = now;
    this->send(std::move(message));
}

bool Core::noteAnswer(MemberProgress &progress, const Message &message)
{
    if (progress.boot != message.boot) {
        auto &earlier = progress.earlierBoots;
        if (std::find(earlier.begin(), earlier.end(), message.boot) != earlier.end()) {
            return false;
        }
        if (progress.boot != 0) {
            earlier.push_back(progress.boot);
            if (this->safety.forgetsAcknowledgementsOnRestart()) {
                progress.match = 0;
            }
            progress.snapshot = nullptr;
            progress.probing = true;
            progress.admissionIndex = 0;
        }
        progress.boot = message.boot;
    }
    progress.standing = message.standing;
    progress.answered = std::max(progress.answered, message.sequence);
    return true;
}

void Core::handleAppendReply(const Message &message, base::SteadyTime now)
{
    if (message.term > this->hard.term) {
        this->becomeFollower(message.term, "", now);
        return;
    }
    const auto found = this->progresses.find(message.from);
    if (this->currentRole != Role::Leader || message.term < this->hard.term || found == this->progresses.end()) {
        return;
    }
    MemberProgress &progress = found->second;
    if (!this->noteAnswer(progress, message)) {
        return;
    }
    if (message.granted) {
        progress.match = std::max(progress.match, std::min(message.index, this->entries.lastIndex()));
        if (const auto term = this->entries.termAt(progress.match); term) {
            this->noteAcknowledged(message.from, LogPosition{*term, progress.match});
        }
        progress.next = std::max(progress.next, progress.match + 1);
        progress.probing = false;
        if (progress.snapshot && progress.match >= progress.snapshotIndex) {
            progress.snapshot = nullptr;
        }
    } else if (!progress.snapshot || message.index >= progress.snapshotIndex) {
        this->probeAfter(message.from, progress, std::min(message.index, this->entries.lastIndex()), now);
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

void Core::probeAfter(const std::string &vm, MemberProgress &progress, std::uint64_t index, base::SteadyTime now)
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
    if (this->currentRole != Role::Leader || message.term != this->hard.term || found == this->progresses.end()) {
        return;
    }
    MemberProgress &progress = found->second;
    if (!this->noteAnswer(progress, message) || !progress.snapshot || message.index != progress.snapshotIndex) {
        return;
    }
    const bool moves = message.offset != progress.snapshotOffset && message.offset < progress.snapshot->size();
    if (moves) {
        progress.snapshotOffset = message.offset;
        progress.chunkSentAt = base::SteadyTime();
        this->sendChunk(message.from, progress, now);
    }
    this->updateLease(now);
}

void Core::admitIfCaughtUp(const std::string &vm, MemberProgress &progress)
{
    const MemberBoot member{vm, progress.boot};
    const bool settled = this->commit >= this->termStartIndex && this->membership().find(vm) != nullptr;
    const bool caughtUp = progress.match >= this->commit && progress.match + AdmissionGapEntries >= this->entries.lastIndex();
    if (!settled || !caughtUp || progress.standing == Standing::Full || progress.admissionIndex != 0 || this->committedRecord.admitted(member)) {
        return;
    }
    GroupRecord record;
    record.admittedBoots[member.vm] = member.boot;
    this->appendOwn(EntryKind::Admission, Codec::encode(record));
    progress.admissionIndex = this->entries.lastIndex();
}

bool Core::counts(const Member &member) const
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
    const auto former = this->formationBoots.find(member.vm);
    return former != this->formationBoots.end() && former->second == boot;
}

bool Core::answers(const Member &member, base::SteadyTime now) const
{
    if (!this->counts(member)) {
        return false;
    }
    return member.vm == this->options.ownVm || now < fromNanoseconds(this->progresses.at(member.vm).answered) + this->options.timings.electionMin;
}

void Core::updateCommit()
{
    const std::int64_t reached = this->majorityValue([this](const Member &member) -> std::int64_t {
        if (!this->counts(member)) {
            return 0;
        }
        const bool own = member.vm == this->options.ownVm;
        return static_cast<std::int64_t>(own ? this->syncedEntries : this->progresses.at(member.vm).match);
    });
    const auto index = static_cast<std::uint64_t>(reached);
    if (index <= this->commit || !this->safety.commitsByCounting(this->entries.termAt(index).value_or(0), this->hard.term)) {
        return;
    }
    this->advanceCommit(index);
    if (this->proposedMemberships.empty() && this->membership().find(this->options.ownVm) == nullptr) {
        this->stepDown(this->majorityHeardAt);
    }
}

void Core::updateLease(base::SteadyTime now)
{
    const std::int64_t heard = this->majorityValue([this, now](const Member &member) -> std::int64_t {
        if (!this->counts(member)) {
            return 0;
        }
        return member.vm == this->options.ownVm ? nanoseconds(now) : this->progresses.at(member.vm).answered;
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
    const auto recent = nanoseconds(now - this->options.timings.electionMin);
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
