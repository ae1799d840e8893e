#include "replication/Core.h"

#include "replication/Codec.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::replication
{

namespace
{

/// For so many heartbeats an answer to a probe tells that its sender is there.
constexpr int PresenceHeartbeats = 6;

} // namespace

void Core::tickFormation(base::SteadyTime now)
{
    if (this->currentRole == Role::Leader || now < this->nextProbe) {
        return;
    }
    const GroupTimings &timings = this->options.timings;
    // A restarted member waits for these answers before it may vote.
    this->nextProbe = now + (this->ownStanding == Standing::Unproven ? 1 : 2) * timings.heartbeat + std::chrono::milliseconds(this->random() % 100);
    if (this->currentRole == Role::Former) {
        this->becomeFollower(this->hard.term, "", now);
    }
    if (this->mayForm(now)) {
        this->form(now);
        return;
    }
    ++this->probeRound;
    for (const std::string &vm : this->otherMembers()) {
        Message message = this->messageTo(vm, MessageKind::Probe);
        message.sequence = this->probeRound;
        this->send(std::move(message));
    }
}

void Core::handleProbe(const Message &message, base::SteadyTime now)
{
    Message reply = this->messageTo(message.from, MessageKind::ProbeReply);
    reply.sequence = message.sequence;
    reply.term = std::max(this->hard.term, this->options.termFloor);
    reply.index = this->entries.last().index;
    reply.logTerm = this->entries.last().term;
    reply.granted = this->hearsLeader(now, this->options.timings.formationSettle);
    reply.standing = this->ownStanding;
    reply.commit = this->commit;
    reply.commitTerm = this->entries.termAt(this->commit).value_or(0);
    if (const auto known = this->acknowledged.find(message.from); known != this->acknowledged.end()) {
        reply.acknowledged.insert(*known);
    }
    this->send(std::move(reply));
}

void Core::handleProbeReply(const Message &message, base::SteadyTime now)
{
    if (this->currentRole == Role::Leader || message.sequence < this->probeRound - 1) {
        return;
    }
    this->distrustMemory(message);
    // Equal entries have equal entries before them, so what another member knows to be committed is committed here, too.
    if (message.commit > this->commit && message.commitTerm != 0 && this->entries.termAt(message.commit) == message.commitTerm) {
        this->advanceCommit(message.commit);
    }
    const LogPosition position{message.logTerm, message.index};
    this->presences[message.from] = Presence{message.boot, message.standing, position, message.term, message.granted, now};
}

bool Core::isPresent(const Member &member, base::SteadyTime now) const
{
    const auto found = this->presences.find(member.vm);
    return member.vm == this->options.ownVm
        || (found != this->presences.end() && now < found->second.at + PresenceHeartbeats * this->options.timings.heartbeat);
}

Core::Attendance Core::attendanceOf(const Membership &members, base::SteadyTime now) const
{
    Attendance attendance;
    std::size_t blank = 0;
    for (const Member &member : members.all()) {
        if (!this->isPresent(member, now)) {
            attendance.allDisks = attendance.allDisks && !member.hasDisk;
            continue;
        }
        const auto found = this->presences.find(member.vm);
        const bool own = found == this->presences.end();
        ++attendance.present;
        attendance.leaderHeard = attendance.leaderHeard || (!own && found->second.hearsLeader);
        blank += (own ? this->ownStanding : found->second.standing) == Standing::Blank ? 1 : 0;
    }
    attendance.majorityLost = blank > members.size() - members.majority();
    return attendance;
}

bool Core::mayForm(base::SteadyTime now) const
{
    const GroupTimings &timings = this->options.timings;
    const bool idle = this->currentRole == Role::Follower || this->currentRole == Role::PreCandidate;
    if (!this->options.mayFormAnew || !idle || this->hearsLeader(now, timings.formationSettle)) {
        return false;
    }
    const bool patient = !this->hearsLeader(now, timings.formationPatience);
    bool ownGroup = false;
    bool majorityLost = false;
    for (const Membership *members : this->activeMemberships()) {
        const Attendance attendance = this->attendanceOf(*members, now);
        const bool enough = attendance.present >= members->majority() && (patient || attendance.present == members->size());
        if (!enough || attendance.leaderHeard || (!attendance.allDisks && this->safety.formationNeedsAllDisks())) {
            return false;
        }
        ownGroup = ownGroup || members->find(this->options.ownVm) != nullptr;
        majorityLost = majorityLost || attendance.majorityLost;
    }
    return ownGroup && majorityLost && (this->everyPresentIsBehind(now) || !this->safety.formationTakesMostAdvanced());
}

std::tuple<LogPosition, bool, bool> Core::formationRank(const std::string &vm, LogPosition position) const
{
    const Member *member = this->membership().find(vm);
    return {position, member != nullptr, member != nullptr && !member->witness};
}

bool Core::everyPresentIsBehind(base::SteadyTime now) const
{
    const auto own = this->formationRank(this->options.ownVm, this->entries.last());
    for (const std::string &vm : this->otherMembers()) {
        if (!this->isPresent(Member{vm}, now)) {
            continue;
        }
        const auto other = this->formationRank(vm, this->presences.at(vm).position);
        if (own < other || (own == other && vm < this->options.ownVm)) {
            return false;
        }
    }
    return true;
}

void Core::form(base::SteadyTime now)
{
    std::uint64_t highest = std::max(this->hard.term, this->options.termFloor);
    std::map<std::string, std::uint64_t> boots{{this->options.ownVm, this->options.boot}};
    for (const std::string &vm : this->otherMembers()) {
        if (this->isPresent(Member{vm}, now)) {
            const Presence &presence = this->presences.at(vm);
            highest = std::max(highest, presence.term);
            boots[vm] = presence.boot;
        }
    }
    this->setTerm(this->nextTerm(highest));
    this->hard.votedFor = this->options.ownVm;
    this->output.hardState = this->hard;
    this->currentRole = Role::Former;
    this->leader.clear();
    this->votes = {this->options.ownVm};
    this->formationBoots = boots;
    for (const auto &[vm, boot] : boots) {
        if (vm == this->options.ownVm) {
            continue;
        }
        Message message = this->messageTo(vm, MessageKind::Form);
        message.index = this->entries.last().index;
        message.logTerm = this->entries.last().term;
        message.boots = {MemberBoot{vm, boot}};
        this->sendAfterSync(std::move(message));
    }
    this->handleFormReply(this->messageTo(this->options.ownVm, MessageKind::FormReply), now);
}

void Core::handleForm(const Message &message, base::SteadyTime now)
{
    const MemberBoot own{this->options.ownVm, this->options.boot};
    const bool addressed = message.boots.size() == 1 && message.boots.front() == own;
    const LogPosition candidate{message.logTerm, message.index};
    const bool advancedEnough = !(candidate < this->entries.last()) || !this->safety.formationTakesMostAdvanced();
    const bool hears = this->currentRole == Role::Leader || this->hearsLeader(now, this->options.timings.formationSettle);
    if (!addressed || hears || message.term <= this->hard.term || !advancedEnough) {
        return;
    }
    this->becomeFollower(message.term, "", now);
    this->hard.votedFor = message.from;
    this->output.hardState = this->hard;
    this->resetElectionDeadline(now);
    Message reply = this->messageTo(message.from, MessageKind::FormReply);
    reply.granted = true;
    this->sendAfterSync(std::move(reply));
}

void Core::handleFormReply(const Message &message, base::SteadyTime now)
{
    if (this->currentRole != Role::Former || message.term != this->hard.term) {
        return;
    }
    if (const auto asked = this->formationBoots.find(message.from); asked != this->formationBoots.end() && asked->second == message.boot) {
        this->votes.insert(message.from);
    }
    if (this->votes.size() < this->formationBoots.size()) {
        return;
    }
    GroupRecord record;
    record.members = this->membership();
    record.admittedBoots = this->formationBoots;
    this->becomeLeader(EntryKind::Formation, Codec::encode(record), now);
}

} // namespace cranberryreel::replication
