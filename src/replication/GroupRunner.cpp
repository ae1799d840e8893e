#include "replication/GroupRunner.h"

#include "observe/Log.h"
#include "observe/Metrics.h"
#include "replication/Codec.h"

#include "cranberryreel/base/Error.h"

#include <absl/time/time.h>

#include <algorithm>
#include <utility>

namespace cranberryreel::replication
{

namespace
{

constexpr std::size_t MaxCommandBytes = 3UL * 1024 * 1024; ///< Keeps a message with one command within the link's frame limit.
constexpr std::size_t MaxQueuedProposals = 65536;
constexpr std::size_t MaxQueuedReads = 65536;
constexpr std::size_t MaxQueuedChanges = 64;
constexpr std::size_t MaxQueuedCommandBytes = 32UL * 1024 * 1024;
constexpr std::size_t MaxQueuedBytes =
    32UL * 1024 * 1024; ///< Limit of queued received bytes; messages beyond are dropped, which the protocol tolerates like network loss.
constexpr std::chrono::milliseconds LogInterval{1000}; ///< Shortest time between two equal lines about elections.
constexpr std::chrono::milliseconds StorageGrace{2000}; ///< How long a stop waits at least for a call to the store that is under way.

const observe::Log &log()
{
    static const observe::Log replicationLog("replication");
    return replicationLog;
}

} // namespace

GroupRunner::GroupRunner(GroupRunnerOptions runnerOptions)
    : options(std::move(runnerOptions))
    , storage(std::move(this->options.store))
{
    this->initialState = this->options.stateMachine->snapshot();
    this->recover(base::steadyNow() + this->options.core.timings.requestLimit);
}

GroupRunner::~GroupRunner()
{
    this->stop(std::chrono::milliseconds(0));
}

void GroupRunner::start()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->ended = this->core == nullptr;
    }
    this->thread = std::thread([this] { this->run(); });
}

void GroupRunner::stop(std::chrono::milliseconds limit)
{
    if (!this->thread.joinable()) {
        return;
    }
    {
        const absl::MutexLock lock(&this->mutex);
        const base::SteadyTime now = base::steadyNow();
        this->inbox.stopBy = now + limit;
        this->abandonStoreBy = now + std::max(limit, StorageGrace);
    }
    this->thread.join();
}

void GroupRunner::propose(std::string command, Durability durability, ProposeCallback done)
{
    if (command.size() > MaxCommandBytes) {
        done(ProposeResult{base::ResultCode::BodyTooLarge, ""});
        return;
    }
    base::ResultCode refusal = base::ResultCode::NotLeader;
    {
        const absl::MutexLock lock(&this->mutex);
        const bool fits = this->inbox.proposals.size() < MaxQueuedProposals && this->inbox.commandBytes + command.size() <= MaxQueuedCommandBytes;
        if (!this->ended && fits) {
            this->inbox.commandBytes += command.size();
            this->inbox.proposals.push_back(GroupInbox::Proposal{std::move(command), durability, std::move(done)});
            return;
        }
        refusal = this->ended ? base::ResultCode::NotLeader : base::ResultCode::QueueFull;
    }
    done(ProposeResult{refusal, ""});
}

void GroupRunner::readBarrier(std::function<void(base::ResultCode)> done)
{
    {
        const absl::MutexLock lock(&this->mutex);
        if (!this->ended && this->inbox.reads.size() < MaxQueuedReads) {
            this->inbox.reads.push_back(std::move(done));
            return;
        }
    }
    done(base::ResultCode::GroupUnavailable);
}

void GroupRunner::changeMembers(std::vector<Member> members, ProposeCallback done)
{
    {
        const absl::MutexLock lock(&this->mutex);
        if (!this->ended && this->inbox.changes.size() < MaxQueuedChanges) {
            this->inbox.changes.push_back(GroupInbox::MembersChange{std::move(members), std::move(done)});
            return;
        }
    }
    done(ProposeResult{base::ResultCode::NotLeader, ""});
}

void GroupRunner::setStandbys(std::vector<std::string> vms)
{
    const absl::MutexLock lock(&this->mutex);
    if (!this->ended) {
        this->inbox.standbys = std::set<std::string>(vms.begin(), vms.end());
    }
}

void GroupRunner::raiseTerm(std::uint64_t atLeast)
{
    const absl::MutexLock lock(&this->mutex);
    this->inbox.raiseTermTo = std::max(this->inbox.raiseTermTo, atLeast);
}

void GroupRunner::receive(const std::string &fromVm, std::string bytes)
{
    const absl::MutexLock lock(&this->mutex);
    if (!this->ended && this->inbox.receivedBytes + bytes.size() <= MaxQueuedBytes) {
        this->inbox.receivedBytes += bytes.size();
        this->inbox.received.emplace_back(fromVm, std::move(bytes));
    }
}

GroupStatus GroupRunner::status() const
{
    const bool leads = this->holdsLease(base::steadyNow());
    const absl::MutexLock lock(&this->mutex);
    GroupStatus status = this->published;
    status.leader = leads;
    status.droppedMessages = this->droppedMessages;
    return status;
}

bool GroupRunner::holdsLease(base::SteadyTime now) const
{
    return now.time_since_epoch().count() < this->leaseEnd;
}

void GroupRunner::run()
{
    std::string reason = "This member has stopped.";
    try {
        while (!this->shouldStop(base::steadyNow())) {
            this->runOnce();
        }
    } catch (const base::Error &error) {
        log().error("Member stops after an error: {}", error.what());
        reason = error.what();
    }
    this->leaveGroup(reason);
}

/// Handles the queued work, or retries the store while there is no core.
void GroupRunner::runOnce()
{
    if (!this->core) {
        this->awaitStorage();
        return;
    }
    try {
        GroupInbox work = this->waitForWork();
        this->handleInbox(work);
        this->processOutputs();
    } catch (const base::Error &error) {
        this->handleFailedWrite(error);
    }
}

GroupInbox GroupRunner::waitForWork()
{
    const base::SteadyTime now = base::steadyNow();
    base::SteadyTime deadline = this->core->nextDeadline();
    if (!this->pending.empty() || this->stopBy) {
        deadline = std::min(deadline, now + this->options.core.timings.heartbeat);
    }
    const absl::MutexLock lock(&this->mutex);
    this->mutex.AwaitWithTimeout(absl::Condition(
                                     +[](GroupInbox *work) { return !work->empty(); }, &this->inbox),
                                 absl::FromChrono(std::max(deadline - now, base::SteadyTime::duration::zero())));
    return std::exchange(this->inbox, GroupInbox());
}

void GroupRunner::handleInbox(GroupInbox &work)
{
    const base::SteadyTime now = base::steadyNow();
    for (auto &[from, bytes] : work.received) {
        if (auto message = Codec::decodeMessage(bytes); message) {
            message->from = from;
            message->to = this->options.core.ownVm;
            this->core->receive(*message, now);
        } else {
            ++this->droppedMessages;
        }
    }
    if (work.standbys) {
        this->core->setStandbys(*work.standbys, now);
    }
    if (work.raiseTermTo > 0) {
        this->core->raiseTerm(work.raiseTermTo, now);
    }
    this->handleProposals(work.proposals, now);
    for (GroupInbox::MembersChange &change : work.changes) {
        this->handleChange(change);
    }
    this->core->flush(now);
    for (auto &done : work.reads) {
        this->core->read(this->reads.add(std::move(done)), now);
    }
    if (work.stopBy) {
        this->stopBy = this->core->role() == Role::Leader ? *work.stopBy : now;
        this->core->handOver(now);
    }
    if (now >= this->core->nextDeadline()) {
        this->core->tick(now);
    }
    this->pending.expire(now);
}

void GroupRunner::handleProposals(std::vector<GroupInbox::Proposal> &proposals, base::SteadyTime now)
{
    for (GroupInbox::Proposal &proposal : proposals) {
        // Without the lease a proposal is still safe, because only a majority can commit it in this term. After a stalled write the lease is only renewed late.
        if (this->core->role() != Role::Leader || this->announcedTerm != this->core->hardState().term) {
            proposal.done(ProposeResult{base::ResultCode::NotLeader, ""});
        } else if (proposal.durability == Durability::SyncedDisk && !this->core->diskReachable(now)) {
            proposal.done(ProposeResult{base::ResultCode::NoDurableStore, ""});
        } else if (const auto index = this->core->propose(std::move(proposal.command)); index) {
            this->proposedTerm = this->core->hardState().term;
            this->pending.add(*index, this->proposedTerm, proposal.durability, std::move(proposal.done));
        } else {
            proposal.done(ProposeResult{base::ResultCode::NotLeader, ""});
        }
    }
}

void GroupRunner::handleChange(GroupInbox::MembersChange &change)
{
    std::uint64_t index = 0;
    base::ResultCode code = base::ResultCode::Ok;
    try {
        code = this->core->changeMembers(Membership(std::move(change.members)), index, base::steadyNow());
    } catch (const base::Error &error) {
        code = error.code();
    }
    if (code != base::ResultCode::Ok) {
        change.done(ProposeResult{code, ""});
        return;
    }
    this->proposedTerm = this->core->hardState().term;
    this->pending.add(index, this->proposedTerm, Durability::Majority, std::move(change.done));
}

void GroupRunner::processOutputs()
{
    auto output = std::make_shared<CoreOutput>(this->core->takeOutput());
    while (!output->empty()) {
        this->processOutput(output);
        output = std::make_shared<CoreOutput>(this->core->takeOutput());
    }
    this->publishLease();
    this->notifyLeadershipChange();
    if (this->core->role() == Role::Leader) {
        this->pending.completeSynced(this->core->syncedIndex());
    }
    this->compactIfDue();
    this->publishStatus();
}

void GroupRunner::processOutput(const std::shared_ptr<const CoreOutput> &shared)
{
    const CoreOutput &output = *shared;
    this->logRefusedVotes(output.refusedVotes);
    this->publishLease(); // Must precede any message that lets another member lead.
    this->sendAll(output.messages);
    if (output.hasWrites()) {
        this->callStore([shared](LogStore &store) { store.write(*shared); });
    }
    this->sendAll(output.messagesAfterSync);
    if (!output.entries.empty()) {
        this->core->markSynced(this->core->log().lastIndex(), base::steadyNow());
    }
    if (output.snapshot) {
        this->restore(*output.snapshot);
    }
    for (const Entry &entry : output.committed) {
        this->apply(entry);
    }
    for (const ReadOutcome &outcome : output.reads) {
        this->reads.handleOutcome(outcome, this->applied);
    }
    this->reads.completeApplied(this->applied);
}

void GroupRunner::restore(const Snapshot &snapshot)
{
    this->options.stateMachine->restore(snapshot.index == 0 ? this->initialState : snapshot.state);
    this->applied = snapshot.index;
    this->snapshotIndex = snapshot.index;
}

void GroupRunner::apply(const Entry &entry)
{
    std::string result;
    if (entry.kind == EntryKind::Command) {
        result = this->options.stateMachine->apply(entry.index, entry.data);
    }
    this->applied = entry.index;
    this->bytesSinceSnapshot += entry.data.size();
    this->pending.completeApplied(entry.index, entry.term, std::move(result), base::steadyNow() + this->options.core.timings.requestLimit);
}

void GroupRunner::publishLease()
{
    const bool announced = this->announcedTerm != 0 && this->announcedTerm == this->core->hardState().term;
    this->leaseEnd = announced ? this->core->leaseEnd().time_since_epoch().count() : 0;
}

void GroupRunner::notifyLeadershipChange()
{
    const std::uint64_t term = this->core->hardState().term;
    const bool leads = this->core->leaseEnd() != base::SteadyTime();
    if (this->announcedTerm != 0 && (!leads || this->announcedTerm != term)) {
        log().info("Leadership lost, term {}.", this->announcedTerm);
        const std::uint64_t endedTerm = std::exchange(this->announcedTerm, 0);
        if (this->options.listener != nullptr) {
            this->options.listener->leadershipLost(endedTerm);
        }
    }
    if (this->proposedTerm != term || this->core->role() != Role::Leader) {
        this->pending.failAll();
    }
    if (this->announcedTerm == 0 && this->core->holdsLease(base::steadyNow()) && this->applied >= this->core->termStart()) {
        log().info("Leadership acquired, term {}.", term);
        this->announcedTerm = term;
        this->publishLease();
        this->publishStatus();
        if (this->options.listener != nullptr) {
            this->options.listener->leadershipAcquired(term);
        }
    }
}

void GroupRunner::publishStatus()
{
    const base::SteadyTime now = base::steadyNow();
    GroupStatus status;
    status.term = this->core->hardState().term;
    status.leaderVm = this->core->leaderVm();
    status.committed = this->core->commitIndex();
    status.applied = this->applied;
    status.caughtUp = this->core->standing() == Standing::Full;
    status.reason = this->core->unavailableReason(now);
    status.formationTerm = this->core->record().formationTerm;
    for (const Member &member : this->core->membership().all()) {
        status.members.push_back(member.vm);
    }
    status.changingMembers = this->core->isChangingMembers();
    status.peers = this->core->peerHealth(now);
    this->logAvailability(status);
    const absl::MutexLock lock(&this->mutex);
    this->published = std::move(status);
}

/// Candidates ask several times a second while there is no leader; a repeated refusal is logged once a second.
void GroupRunner::logRefusedVotes(const std::vector<RefusedVote> &refused)
{
    const base::SteadyTime now = base::steadyNow();
    for (const RefusedVote &vote : refused) {
        const bool repeated = vote.candidate == this->lastRefusedVote.candidate && vote.reason == this->lastRefusedVote.reason;
        if (!repeated || now >= this->refusedVoteLoggedAt + LogInterval) {
            log().info("event=vote_refused candidate={} reason={} last_index={}", vote.candidate, nameOf(vote.reason), this->core->log().lastIndex());
            this->lastRefusedVote = vote;
            this->refusedVoteLoggedAt = now;
        }
    }
}

void GroupRunner::logAvailability(const GroupStatus &status)
{
    const base::SteadyTime now = base::steadyNow();
    if (status.reason == this->unavailableReason || (!status.reason.empty() && now < this->unavailableLoggedAt + LogInterval)) {
        return;
    }
    if (status.reason.empty()) {
        log().info("event=group_available leader={} term={}", status.leaderVm, status.term);
    } else {
        log().warn("event=group_unavailable role={} standing={} term={} last_index={} reason=\"{}\"",
                   static_cast<int>(this->core->role()),
                   static_cast<int>(this->core->standing()),
                   status.term,
                   this->core->log().lastIndex(),
                   status.reason);
        this->unavailableLoggedAt = now;
    }
    this->unavailableReason = status.reason;
}

void GroupRunner::sendAll(const std::vector<Message> &messages)
{
    for (const Message &message : messages) {
        this->options.sendToMember(message.to, Codec::encode(message));
    }
}

bool GroupRunner::shouldStop(base::SteadyTime now)
{
    if (!this->stopBy) {
        return false;
    }
    if (!this->core) {
        return true;
    }
    const bool handedOver = this->core->role() != Role::Leader && !this->core->leaderVm().empty();
    const bool nothingToHandOver = this->core->role() == Role::Leader && this->core->leaseEnd() != base::SteadyTime();
    return now >= *this->stopBy || handedOver || nothingToHandOver;
}

} // namespace cranberryreel::replication
