#include "replication/Core.h"

#include <algorithm>

namespace cranberryreel::replication
{

void Core::resetElectionDeadline(base::SteadyTime now)
{
    const GroupTimings &timings = this->options.timings;
    std::uniform_int_distribution<std::int64_t> spread(timings.electionMin.count(), timings.electionMax.count());
    this->electionDeadline = now + std::chrono::milliseconds(spread(this->random));
    if (const Member *own = this->membership().find(this->options.ownVm); own != nullptr && own->witness) {
        this->electionDeadline += timings.electionMax;
    }
}

/// When all members have restarted and none has heard a leader since, none of them can be the leader that the restart grace waits for.
bool Core::allMembersRestarted(base::SteadyTime now) const
{
    const std::vector<std::string> others = this->otherMembers();
    return !others.empty() && std::all_of(others.begin(), others.end(), [this, now](const std::string &vm) {
        const auto found = this->presences.find(vm);
        return found != this->presences.end() && found->second.standing == Standing::Unproven && this->isPresent(Member{vm}, now);
    });
}

bool Core::mayTrustDisk(base::SteadyTime now) const
{
    const GroupTimings &timings = this->options.timings;
    if (this->allMembersRestarted(now)) {
        return true;
    }
    if (this->hasLeaderContact(now, timings.restartGrace)) {
        return false;
    }
    const std::vector<std::string> others = this->otherMembers();
    const bool allAnswered = std::all_of(others.begin(), others.end(), [this](const std::string &vm) {
        const auto found = this->presences.find(vm);
        return found != this->presences.end() && !found->second.hasLeaderContact;
    });
    return allAnswered || !this->hasLeaderContact(now, timings.formationPatience);
}

std::uint64_t Core::nextTerm(std::uint64_t above) const
{
    const std::uint64_t stride = this->safety.termStride();
    const std::uint64_t ordinal = this->membership().ordinal(this->options.ownVm) % stride;
    const std::uint64_t term = above / stride * stride + ordinal;
    return term > above ? term : term + stride;
}

void Core::tickElection(base::SteadyTime now)
{
    if (this->ownStanding == Standing::Unproven && this->mayTrustDisk(now)) {
        this->setStanding(Standing::Full);
        this->trustedWithoutLeader = true;
        for (const auto &[vm, presence] : this->presences) {
            this->voteFloor = std::max(this->voteFloor, presence.position);
        }
        // This member has waited for a leader already; the short pause lets the other members come to trust their disks.
        const std::int64_t pause = this->options.timings.heartbeat.count();
        std::uniform_int_distribution<std::int64_t> spread(pause, 3 * pause);
        this->electionDeadline = std::min(this->electionDeadline, now + std::chrono::milliseconds(spread(this->random)));
    }
    if (now < this->electionDeadline) {
        return;
    }
    this->resetElectionDeadline(now);
    this->leader.clear();
    const bool mayLead = this->safety.mayVote(this->ownStanding) && this->isActiveMember(this->options.ownVm);
    if (!mayLead || !this->isCandidateUpToDate(this->entries.last(), now)) {
        this->currentRole = Role::Follower;
    } else if (this->safety.usesPreVote()) {
        this->startPreVote(now);
    } else {
        this->startElection(this->currentHardState.term, 0, now);
    }
}

void Core::startPreVote(base::SteadyTime now)
{
    this->currentRole = Role::PreCandidate;
    this->votes = {this->options.ownVm};
    if (this->isMajority(this->votes)) {
        this->startElection(this->currentHardState.term, 0, now);
        return;
    }
    for (const std::string &vm : this->otherMembers()) {
        Message message = this->messageTo(vm, MessageKind::PreVote);
        message.term = this->nextTerm(this->currentHardState.term);
        message.index = this->entries.last().index;
        message.logTerm = this->entries.last().term;
        this->send(std::move(message));
    }
}

void Core::startElection(std::uint64_t above, std::uint64_t handoverTerm, base::SteadyTime now)
{
    this->setTerm(this->nextTerm(std::max(above, this->currentHardState.term)));
    this->currentHardState.votedFor = this->options.ownVm;
    this->output.hardState = this->currentHardState;
    this->currentRole = Role::Candidate;
    this->leader.clear();
    this->votes = {this->options.ownVm};
    this->resetElectionDeadline(now);
    if (this->isMajority(this->votes)) {
        this->becomeLeader(EntryKind::Barrier, "", now);
        return;
    }
    for (const std::string &vm : this->otherMembers()) {
        Message message = this->messageTo(vm, MessageKind::Vote);
        message.index = this->entries.last().index;
        message.logTerm = this->entries.last().term;
        message.handoverTerm = handoverTerm;
        if (const auto known = this->acknowledged.find(vm); known != this->acknowledged.end()) {
            message.acknowledged.insert(*known);
        }
        this->sendAfterSync(std::move(message));
    }
}

void Core::handlePreVote(const Message &message, base::SteadyTime now)
{
    Message reply = this->messageTo(message.from, MessageKind::PreVoteReply);
    const bool leaderActive = this->safety.refusesVoteDuringLeaderContact() && this->hasLeaderContact(now, this->options.timings.electionMin);
    VoteRefusal refusal = this->checkCandidate(message.from, LogPosition{message.logTerm, message.index}, now);
    if (leaderActive) {
        refusal = VoteRefusal::LeaderActive;
    } else if (message.term <= this->currentHardState.term) {
        refusal = VoteRefusal::StaleTerm;
    }
    this->recordRefusal(message.from, refusal);
    reply.granted = refusal == VoteRefusal::None;
    reply.sequence = static_cast<std::int64_t>(message.term);
    this->send(std::move(reply));
}

void Core::handlePreVoteReply(const Message &message, base::SteadyTime now)
{
    if (message.term > this->currentHardState.term) {
        this->becomeFollower(message.term, "", now);
        return;
    }
    const bool expected =
        this->currentRole == Role::PreCandidate && static_cast<std::uint64_t>(message.sequence) == this->nextTerm(this->currentHardState.term);
    if (!expected || !message.granted) {
        return;
    }
    this->votes.insert(message.from);
    if (this->isMajority(this->votes)) {
        this->startElection(this->currentHardState.term, 0, now);
    }
}

void Core::handleVote(const Message &message, base::SteadyTime now)
{
    const bool handedOver = message.handoverTerm != 0 && message.handoverTerm == this->currentHardState.term;
    const bool leaderActive = this->safety.refusesVoteDuringLeaderContact() && this->hasLeaderContact(now, this->options.timings.electionMin);
    if (leaderActive && !handedOver) {
        this->recordRefusal(message.from, VoteRefusal::LeaderActive);
        return;
    }
    this->detectRolledBackDisk(message);
    if (message.term > this->currentHardState.term) {
        this->becomeFollower(message.term, "", now);
    }
    Message reply = this->messageTo(message.from, MessageKind::VoteReply);
    VoteRefusal refusal = this->checkCandidate(message.from, LogPosition{message.logTerm, message.index}, now);
    if (message.term != this->currentHardState.term || this->currentRole != Role::Follower) {
        refusal = VoteRefusal::StaleTerm;
    } else if (!this->safety.isVoteAvailable(this->currentHardState, message.from)) {
        refusal = VoteRefusal::AlreadyVoted;
    }
    this->recordRefusal(message.from, refusal);
    reply.granted = refusal == VoteRefusal::None;
    if (reply.granted) {
        this->currentHardState.votedFor = message.from;
        this->output.hardState = this->currentHardState;
        this->resetElectionDeadline(now);
    }
    this->sendAfterSync(std::move(reply));
}

bool Core::isBelowVoteFloor(LogPosition candidate, base::SteadyTime now) const
{
    const bool below = candidate < this->voteFloor && this->hasLeaderContact(now, this->options.timings.formationPatience);
    return below && this->safety.distrustsRolledBackDisk();
}

bool Core::isCandidateUpToDate(LogPosition candidate, base::SteadyTime now) const
{
    return this->safety.isLogUpToDate(candidate, this->entries.last()) && !this->isBelowVoteFloor(candidate, now);
}

VoteRefusal Core::checkCandidate(const std::string &vm, LogPosition candidate, base::SteadyTime now) const
{
    if (!this->safety.mayVote(this->ownStanding)) {
        return VoteRefusal::NotAdmitted;
    }
    if (!this->safety.isLogUpToDate(candidate, this->entries.last())) {
        return VoteRefusal::LogBehind;
    }
    if (this->isBelowVoteFloor(candidate, now)) {
        return VoteRefusal::BelowVoteFloor;
    }
    return this->hasRolledBack(vm, candidate) ? VoteRefusal::RolledBack : VoteRefusal::None;
}

void Core::recordRefusal(const std::string &vm, VoteRefusal reason)
{
    if (reason != VoteRefusal::None) {
        this->output.refusedVotes.push_back({vm, reason});
    }
}

bool Core::hasRolledBack(const std::string &vm, LogPosition position) const
{
    const auto known = this->acknowledged.find(vm);
    return known != this->acknowledged.end() && position < known->second && this->safety.distrustsRolledBackDisk();
}

void Core::handleVoteReply(const Message &message, base::SteadyTime now)
{
    if (message.term > this->currentHardState.term) {
        this->becomeFollower(message.term, "", now);
        return;
    }
    if (this->currentRole != Role::Candidate || message.term < this->currentHardState.term || !message.granted) {
        return;
    }
    this->votes.insert(message.from);
    if (this->isMajority(this->votes)) {
        this->becomeLeader(EntryKind::Barrier, "", now);
    }
}

void Core::handleHandover(const Message &message, base::SteadyTime now)
{
    const Member *own = this->membership().find(this->options.ownVm);
    const bool fromOwnLeader = message.term == this->currentHardState.term && message.from == this->leader && this->currentRole == Role::Follower;
    if (fromOwnLeader && this->safety.mayVote(this->ownStanding) && own != nullptr && !own->witness) {
        this->startElection(this->currentHardState.term, message.term, now);
    }
}

} // namespace cranberryreel::replication
