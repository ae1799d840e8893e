#include "replication/Core.h"

#include "replication/Codec.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::replication
{

void Core::tickFormation(base::SteadyTime now)
{
    if (this->currentRole == Role::Leader || now < this->nextProbe) {
        return;
    }
    const GroupTimings &timings = this->options.timings;
    this->nextProbe = now + 2 * timings.heartbeat + std::chrono::milliseconds(this->random() % 100);
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
    this->send(std::move(reply));
}

void Core::handleProbeReply(const Message &message, base::SteadyTime now)
{
    if (this->currentRole == Role::Leader || message.sequence < this->probeRound - 1) {
        return;
    }
    const LogPosition position{message.logTerm, message.index};
    this->presences[message.from] = Presence{message.boot, message.standing, position, message.term, message.granted, now};
}

bool Core::mayForm(base::SteadyTime now) const
{
    const GroupTimings &timings = this->options.timings;
    const Membership &members = this->membership();
    const bool idle = this->currentRole == Role::Follower || this->currentRole == Role::PreCandidate;
    if (!idle || !this->proposedMemberships.empty() || this->hearsLeader(now, timings.formationSettle) || members.find(this->options.ownVm) == nullptr) {
        return false;
    }
    std::size_t present = 0;
    std::size_t blank = 0;
    for (const Member &member : members.all()) {
        const bool own = member.vm == this->options.ownVm;
        const auto found = this->presences.find(member.vm);
        const bool fresh = own || (found != this->presences.end() && now < found->second.at + 6 * timings.heartbeat);
        if (!fresh) {
            if (member.hasDisk && this->safety.formationNeedsAllDisks()) {
                return false;
            }
            continue;
        }
        if (!own && found->second.hearsLeader) {
            return false;
        }
        ++present;
        const Standing standing = own ? this->ownStanding : found->second.standing;
        blank += standing == Standing::Blank ? 1 : 0;
    }
    const bool quorumLost = blank > members.size() - members.majority();
    const bool patient = present == members.size() || !this->hearsLeader(now, timings.formationPatience);
    return present >= members.majority() && quorumLost && patient && (this->everyPresentIsBehind() || !this->safety.formationTakesMostAdvanced());
}

bool Core::everyPresentIsBehind() const
{
    const LogPosition own = this->entries.last();
    const Member *self = this->membership().find(this->options.ownVm);
    for (const auto &[vm, presence] : this->presences) {
        const Member *other = this->membership().find(vm);
        if (other == nullptr || presence.position < own) {
            continue;
        }
        const bool tie = presence.position == own;
        const bool preferOwn = self->witness == other->witness ? this->options.ownVm < vm : other->witness;
        if (!tie || !preferOwn) {
            return false;
        }
    }
    return true;
}

void Core::form(base::SteadyTime now)
{
    std::uint64_t highest = std::max(this->hard.term, this->options.termFloor);
    std::map<std::string, std::uint64_t> boots{{this->options.ownVm, this->options.boot}};
    for (const auto &[vm, presence] : this->presences) {
        if (this->membership().find(vm) != nullptr && now < presence.at + 6 * this->options.timings.heartbeat) {
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
    record.admittedBoots = this->formationBoots;
    this->becomeLeader(EntryKind::Formation, Codec::encode(record), now);
}

} // namespace cranberryreel::replication
