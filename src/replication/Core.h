#pragma once

#include "replication/CoreOptions.h"
#include "replication/CoreOutput.h"
#include "replication/CoreSafety.h"
#include "replication/MemberProgress.h"
#include "replication/PeerHealth.h"
#include "replication/Presence.h"
#include "replication/Recovered.h"
#include "replication/ReplicatedLog.h"
#include "replication/Role.h"
#include "replication/VoteRefusal.h"

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/base/ResultCode.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace cranberryreel::replication
{

/// The consensus protocol of one member as a pure state machine: it takes messages and the time and produces a CoreOutput. It uses no sockets, clock, files
/// or threads. Its owner, GroupRunner, calls it from one thread and carries out each output, in order, before it takes the next one.
/// docs/design/replication.md states the rules and why they hold.
class Core
{
public:
    /// `safety` must outlive the core.
    Core(CoreOptions options, const Recovered &recovered, const CoreSafety &safety, base::SteadyTime now);

    void receive(const Message &message, base::SteadyTime now);
    void tick(base::SteadyTime now);

    /// Appends a command and returns its index. Returns nothing, and appends nothing, when this member cannot take proposals.
    std::optional<std::uint64_t> propose(std::string command);

    /// Sends the proposed entries to the other members; called once per batch of proposals.
    void flush(base::SteadyTime now);

    /// Proposes a new membership, one change at a time. Returns Ok and the index of the change; NotLeader; or GroupUnavailable while an earlier change is not
    /// committed or when no majority of the new members counts toward commits and responds.
    base::ResultCode changeMembers(const Membership &members, std::uint64_t &index, base::SteadyTime now);

    /// Sets the standbys: VMs outside the membership that follow the log of this leader, so that one of them can take the place of a lost member at once. A
    /// standby counts toward no majority. Does nothing when this member does not lead; forgotten when leadership ends.
    void setStandbys(const std::set<std::string> &vms, base::SteadyTime now);

    /// The members and standbys as this leader sees them, itself included. Empty when this member does not lead.
    std::vector<PeerHealth> peerHealth(base::SteadyTime now) const;

    /// Starts a linearizable read; CoreOutput::reads reports its outcome under the same id.
    void read(std::uint64_t id, base::SteadyTime now);

    /// Transfers leadership to the other member with the most advanced log. Does nothing when this member does not lead.
    void handOver(base::SteadyTime now);

    /// Moves a leader to a term of at least `atLeast`. Does nothing when this member does not lead or its term is that high already.
    void raiseTerm(std::uint64_t atLeast, base::SteadyTime now);

    /// Tells the core that the output's entries up to `index` are synced.
    void markSynced(std::uint64_t index, base::SteadyTime now);

    /// Returns the output collected since the last call and clears it.
    CoreOutput takeOutput();

    /// Replaces the entries up to the commit index with a snapshot of the state machine's state there. The owner must have applied all outputs.
    /// At most `retainedEntries` entries and `retainedBytes` bytes of them stay in memory, for members that lag a little.
    std::shared_ptr<const Snapshot> compact(std::string state, std::uint64_t retainedEntries, std::size_t retainedBytes);

    /// The time at which tick() is due next.
    base::SteadyTime nextDeadline() const;

    bool holdsLease(base::SteadyTime now) const;
    base::SteadyTime leaseEnd() const;

    /// True when this member leads, may act as a leader (a witness may not) and has committed everything up to termStart().
    bool isEstablishedLeader() const;

    /// True when a member with a disk, this member included, responds.
    bool diskReachable(base::SteadyTime now) const;

    /// The highest index known to this leader that a member with a disk has synced.
    std::uint64_t syncedIndex() const;

    /// Why the group cannot commit, as seen by this member; empty while it can.
    std::string unavailableReason(base::SteadyTime now) const;

    Role role() const
    {
        return this->currentRole;
    }

    Standing standing() const
    {
        return this->ownStanding;
    }

    const HardState &hardState() const
    {
        return this->currentHardState;
    }

    const std::string &leaderVm() const
    {
        return this->leader;
    }

    std::uint64_t commitIndex() const
    {
        return this->commit;
    }

    std::uint64_t termStart() const
    {
        return this->termStartIndex;
    }

    const ReplicatedLog &log() const
    {
        return this->entries;
    }

    const GroupRecord &record() const
    {
        return this->committedRecord;
    }

    const Membership &membership() const;

    /// True while a change of the membership is not committed.
    bool isChangingMembers() const
    {
        return !this->proposedMemberships.empty();
    }

private:
    using VoteSet = std::set<std::string>;

    // Core.cpp
    void recover(const Recovered &recovered);
    Message messageTo(const std::string &vm, MessageKind kind) const;
    void send(Message message);
    void sendAfterSync(Message message);
    void setTerm(std::uint64_t term);
    void becomeFollower(std::uint64_t term, const std::string &leaderVm, base::SteadyTime now);
    void recordLeader(const std::string &vm, base::SteadyTime now);
    bool hasLeaderContact(base::SteadyTime now, std::chrono::milliseconds within) const;
    void setStanding(Standing standing);
    void recordProgress(const Message &message, base::SteadyTime now);
    void recordAcknowledged(const std::string &vm, LogPosition position);
    void detectRolledBackDisk(const Message &message);
    void appendOwn(EntryKind kind, std::string data);
    void append(Entry entry);
    void truncateFrom(std::uint64_t index);
    void advanceCommit(std::uint64_t index);
    void applyToRecord(const Entry &entry);
    void commitMemberships(std::uint64_t index);
    std::vector<const Membership *> activeMemberships() const;
    std::vector<std::string> otherMembers() const;
    bool isActiveMember(const std::string &vm) const;
    bool isStandby(const std::string &vm) const;

    /// The highest value that a majority of each active membership reaches or exceeds.
    std::int64_t majorityValue(const std::function<std::int64_t(const Member &)> &value) const;
    bool isMajority(const VoteSet &votes) const;

    // CoreElection.cpp
    void tickElection(base::SteadyTime now);
    void resetElectionDeadline(base::SteadyTime now);
    bool allMembersRestarted(base::SteadyTime now) const;
    bool mayTrustDisk(base::SteadyTime now) const;
    bool isBelowVoteFloor(LogPosition candidate, base::SteadyTime now) const;
    bool isCandidateUpToDate(LogPosition candidate, base::SteadyTime now) const;

    /// Returns None when this member may vote for the candidate at this log position.
    VoteRefusal checkCandidate(const std::string &vm, LogPosition candidate, base::SteadyTime now) const;
    void recordRefusal(const std::string &vm, VoteRefusal reason);
    bool hasRolledBack(const std::string &vm, LogPosition position) const;
    std::uint64_t nextTerm(std::uint64_t above) const;
    void startPreVote(base::SteadyTime now);
    void startElection(std::uint64_t above, std::uint64_t handoverTerm, base::SteadyTime now);
    void handlePreVote(const Message &message, base::SteadyTime now);
    void handlePreVoteReply(const Message &message, base::SteadyTime now);
    void handleVote(const Message &message, base::SteadyTime now);
    void handleVoteReply(const Message &message, base::SteadyTime now);
    void handleHandover(const Message &message, base::SteadyTime now);

    // CoreLeader.cpp
    void becomeLeader(EntryKind openingKind, std::string data, base::SteadyTime now);
    std::vector<std::string> followers() const;
    MemberProgress &progressOf(const std::string &vm, base::SteadyTime now);
    void recordStored(MemberProgress &progress, base::SteadyTime now) const;
    void sendEntries(const std::string &vm, bool heartbeat, base::SteadyTime now);
    void sendAppend(const std::string &vm, MemberProgress &progress, std::vector<Entry> batch, base::SteadyTime now);
    void sendSnapshotChunk(const std::string &vm, MemberProgress &progress, base::SteadyTime now);
    void handleAppendReply(const Message &message, base::SteadyTime now);
    void handleSnapshotReply(const Message &message, base::SteadyTime now);
    void restartProbing(const std::string &vm, MemberProgress &progress, std::uint64_t index, base::SteadyTime now);
    bool recordReply(MemberProgress &progress, const Message &message);
    void admitIfCaughtUp(const std::string &vm, MemberProgress &progress);
    bool countsTowardMajority(const Member &member) const;
    void updateCommit();

    // CoreLeadership.cpp
    void tickLeader(base::SteadyTime now);
    void stepDown(base::SteadyTime now);
    void updateLease(base::SteadyTime now);
    bool isResponsive(const Member &member, base::SteadyTime now) const;
    void continueHandover(base::SteadyTime now);

    // CoreFollower.cpp
    bool acceptLeader(const Message &message, base::SteadyTime now);
    void handleAppend(const Message &message, base::SteadyTime now);
    void handleSnapshotChunk(const Message &message, base::SteadyTime now);
    void installSnapshot(const std::shared_ptr<const Snapshot> &snapshot);
    void resetToBlank();
    std::uint64_t lastPossibleMatch(const Message &message) const;
    bool contradictsCommitted(const Message &message) const;
    void appendReceived(const Message &message);

    // CoreFormation.cpp
    void tickFormation(base::SteadyTime now);
    void handleProbe(const Message &message, base::SteadyTime now);
    void handleProbeReply(const Message &message, base::SteadyTime now);
    struct PresenceSummary {
        std::size_t present = 0;
        bool allDiskMembersPresent = true; ///< Every member with a disk is present.
        bool leaderReported = false;
        bool tooManyBlank = false; ///< So many members are blank that the others cannot form a majority.
    };
    bool isPresent(const Member &member, base::SteadyTime now) const;
    PresenceSummary summarizePresence(const Membership &members, base::SteadyTime now) const;
    bool mayForm(base::SteadyTime now) const;

    /// The order in which the member that forms the group is chosen: by log, then by whether it stays a member, then by whether it may keep leading.
    std::tuple<LogPosition, bool, bool> formationRank(const std::string &vm, LogPosition position) const;
    bool hasHighestFormationRank(base::SteadyTime now) const;
    void form(base::SteadyTime now);
    void handleForm(const Message &message, base::SteadyTime now);
    void handleFormReply(const Message &message, base::SteadyTime now);

    // CoreReads.cpp
    struct PendingRead {
        std::uint64_t id = 0;
        base::SteadyTime since;
        base::SteadyTime lastSentAt;
    };
    void tickReads(base::SteadyTime now);
    void answerReads(base::SteadyTime now);
    void handleRead(const Message &message, base::SteadyTime now);
    void handleReadReply(const Message &message);

    CoreOptions options;
    const CoreSafety &safety;
    std::mt19937_64 random;
    CoreOutput output;

    // State of every member.
    base::SteadyTime startedAt;
    HardState currentHardState;
    Standing ownStanding = Standing::Blank;
    Role currentRole = Role::Follower;
    std::string leader;
    ReplicatedLog entries;
    std::uint64_t syncedEntries = 0; ///< Own entries up to here are synced.
    std::uint64_t commit = 0;
    GroupRecord committedRecord;
    std::vector<std::pair<std::uint64_t, Membership>> proposedMemberships; ///< With their log indexes, all beyond the commit index.
    std::shared_ptr<const Snapshot> latestSnapshot;
    std::shared_ptr<const std::string> encodedSnapshot; ///< The encoded latestSnapshot; created when it is first sent.
    std::map<std::string, LogPosition> acknowledged; ///< The highest position known to be acknowledged by each member, by VM.
    std::map<std::string, base::SteadyTime> progressedAt; ///< When each VM was last known to store what the leader of that time sent.
    bool trustedWithoutLeader = false; ///< Trusted its disk after a restart, and has neither led nor heard a leader since.
    LogPosition voteFloor; ///< The most advanced log known when this member trusted its disk without a leader; it refuses votes to logs below this.
    base::SteadyTime lastLeaderContact; ///< Starts at this boot's start.
    base::SteadyTime electionDeadline;
    std::string incomingSnapshot;
    LogPosition incomingPosition;

    // State of a candidate and of a member that forms the group.
    VoteSet votes;
    std::map<std::string, Presence> presences;
    /// The boots that take part in a formation; they count toward commits during the new leader's first term.
    std::map<std::string, std::uint64_t> formationBoots;
    base::SteadyTime nextProbe;
    std::int64_t probeRound = 0;

    // State of a leader.
    std::map<std::string, MemberProgress> progresses;
    std::set<std::string> standbys;
    std::uint64_t termStartIndex = 0;
    base::SteadyTime nextHeartbeat;
    base::SteadyTime lastMajorityContact;
    base::SteadyTime leaseUntil;
    std::string handoverTarget;
    bool handingOver = false;
    base::SteadyTime handoverDeadline;

    std::vector<PendingRead> pendingReads;
};

} // namespace cranberryreel::replication
