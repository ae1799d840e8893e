#include "replication/Core.h"

#include "replication/Codec.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::replication
{

namespace
{

/// Number of heartbeat intervals for which an answer to a probe counts its sender as present.
constexpr int PresenceHeartbeats = 6;

} // namespace

void Core::tickFormation(base::SteadyTime now)
{
    if (this->currentRole == Role::Leader || now < this->nextProbe) {
        return;
    }
    const GroupTimings &timings = this->options.timings;
    // A restarted member probes more often, since it waits for these answers before it may vote.
    this->nextProbe = now + (this->ownStanding == Standing::Unproven ? 1 : 2) * timings.heartbeat + std::chrono::milliseconds(this->random() % 100);
    if (this->currentRole == Role::Forming) {
        this->becomeFollower(this->currentHardState.term, "", now);
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
    reply.term = std::max(this->currentHardState.term, this->options.termFloor);
    reply.index = this->entries.last().index;
    reply.logTerm = this->entries.last().term;
    reply.granted = this->hasLeaderContact(now, this->options.timings.formationSettle);
    // Until it hears a leader, such a member goes on answering as unproven: the others learn from it that it has restarted, too.
    reply.standing = this->trustedWithoutLeader ? Standing::Unproven : this->ownStanding;
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
    this->detectRolledBackDisk(message);
    // Logs with an equal entry are equal up to it, so an index committed on another member is committed here, too.
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

Core::PresenceSummary Core::summarizePresence(const Membership &members, base::SteadyTime now) const
{
    PresenceSummary summary;
    std::size_t blank = 0;
    for (const Member &member : members.all()) {
        if (!this->isPresent(member, now)) {
            summary.allDiskMembersPresent = summary.allDiskMembersPresent && !member.hasDisk;
            continue;
        }
        const auto found = this->presences.find(member.vm);
        const bool own = found == this->presences.end();
        ++summary.present;
        summary.leaderReported = summary.leaderReported || (!own && found->second.hasLeaderContact);
        blank += (own ? this->ownStanding : found->second.standing) == Standing::Blank ? 1 : 0;
    }
    summary.tooManyBlank = blank > members.size() - members.majority();
    return summary;
}

bool Core::mayForm(base::SteadyTime now) const
{
    const GroupTimings &timings = this->options.timings;
    const bool idle = this->currentRole == Role::Follower || this->currentRole == Role::PreCandidate;
    const bool formed = this->options.formsOnlyOnce && this->commit > 0;
    if (!this->options.mayFormAnew || formed || !idle || this->hasLeaderContact(now, timings.formationSettle)) {
        return false;
    }
    const bool patient = !this->hasLeaderContact(now, timings.formationPatience);
    bool ownGroup = false;
    bool tooManyBlank = false;
    for (const Membership *members : this->activeMemberships()) {
        const PresenceSummary summary = this->summarizePresence(*members, now);
        const bool enough = summary.present >= members->majority() && (patient || summary.present == members->size());
        if (!enough || summary.leaderReported || (!summary.allDiskMembersPresent && this->safety.formationNeedsAllDisks())) {
            return false;
        }
        ownGroup = ownGroup || members->find(this->options.ownVm) != nullptr;
        tooManyBlank = tooManyBlank || summary.tooManyBlank;
    }
    return ownGroup && tooManyBlank && (this->hasHighestFormationRank(now) || !this->safety.formationNeedsMostAdvancedLog());
}

std::tuple<LogPosition, bool, bool> Core::formationRank(const std::string &vm, LogPosition position) const
{
    const Member *member = this->membership().find(vm);
    return {position, member != nullptr, member != nullptr && !member->witness};
}

bool Core::hasHighestFormationRank(base::SteadyTime now) const
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
    std::uint64_t highest = std::max(this->currentHardState.term, this->options.termFloor);
    std::map<std::string, std::uint64_t> boots{{this->options.ownVm, this->options.boot}};
    for (const std::string &vm : this->otherMembers()) {
        if (this->isPresent(Member{vm}, now)) {
            const Presence &presence = this->presences.at(vm);
            highest = std::max(highest, presence.term);
            boots[vm] = presence.boot;
        }
    }
    this->setTerm(this->nextTerm(highest));
    this->currentHardState.votedFor = this->options.ownVm;
    this->output.hardState = this->currentHardState;
    this->currentRole = Role::Forming;
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
    const bool logUpToDate = !(candidate < this->entries.last()) || !this->safety.formationNeedsMostAdvancedLog();
    const bool leaderActive = this->currentRole == Role::Leader || this->hasLeaderContact(now, this->options.timings.formationSettle);
    if (!addressed || leaderActive || message.term <= this->currentHardState.term || !logUpToDate) {
        return;
    }
    this->becomeFollower(message.term, "", now);
    this->currentHardState.votedFor = message.from;
    this->output.hardState = this->currentHardState;
    this->resetElectionDeadline(now);
    Message reply = this->messageTo(message.from, MessageKind::FormReply);
    reply.granted = true;
    this->sendAfterSync(std::move(reply));
}

void Core::handleFormReply(const Message &message, base::SteadyTime now)
{
    if (this->currentRole != Role::Forming || message.term != this->currentHardState.term) {
        return;
    }
    if (const auto invited = this->formationBoots.find(message.from); invited != this->formationBoots.end() && invited->second == message.boot) {
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
