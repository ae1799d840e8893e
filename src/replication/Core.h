#pragma once

#include "replication/CoreOptions.h"
#include "replication/CoreOutput.h"
#include "replication/CoreSafety.h"
#include "replication/MemberProgress.h"
#include "replication/Presence.h"
#include "replication/Recovered.h"
#include "replication/ReplicatedLog.h"
#include "replication/Role.h"

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

/// The protocol of one member as a pure state machine: messages and the time go in, a CoreOutput comes out. No sockets, clock, files or threads.
/// Its owner does what each output says, in order, before it takes the next one. docs/design/replication.md tells the rules and why they hold.
class Core
{
public:
    /// `safety` must outlive the core.
    Core(CoreOptions options, const Recovered &recovered, const CoreSafety &safety, base::SteadyTime now);

    void receive(const Message &message, base::SteadyTime now);
    void tick(base::SteadyTime now);

    /// Appends a command; gives its index, or nothing when this member cannot take proposals, and then it was not appended.
    std::optional<std::uint64_t> propose(std::string command);

    /// Sends what was proposed; one call for a batch of proposals.
    void flush(base::SteadyTime now);

    /// One change at a time: NotLeader, GroupUnavailable while an earlier change is under way or when no majority of the new members counts and answers,
    /// else Ok and the index of the change.
    base::ResultCode changeMembers(const Membership &members, std::uint64_t &index, base::SteadyTime now);

    /// Answered by CoreOutput::reads under the same id.
    void read(std::uint64_t id, base::SteadyTime now);

    /// Gives leadership to the most advanced other member; does nothing when this member does not lead.
    void handOver(base::SteadyTime now);

    /// Moves a leader to a term of at least `atLeast`; does nothing when this member does not lead or leads in such a term.
    void raiseTerm(std::uint64_t atLeast, base::SteadyTime now);

    /// The output's entries up to `index` are synced.
    void persisted(std::uint64_t index, base::SteadyTime now);

    CoreOutput take();

    /// Takes the state machine's state after everything committed, in place of the entries up to there. The owner has applied all outputs.
    /// Of the entries up to there it keeps at most these many entries and bytes in memory, for members that lag a little.
    std::shared_ptr<const Snapshot> compact(std::string state, std::uint64_t retainedEntries, std::size_t retainedBytes);

    /// When tick() has something to do next.
    base::SteadyTime nextDeadline() const;

    bool holdsLease(base::SteadyTime now) const;
    base::SteadyTime leaseEnd() const;

    /// It leads, is no witness, and everything of earlier terms is committed up to termStart().
    bool leadsEstablished() const;

    /// Does a member with a disk, itself included, answer?
    bool diskReachable(base::SteadyTime now) const;

    /// The highest index that a member with a disk has synced, as far as this leader knows.
    std::uint64_t syncedIndex() const;

    /// Why the group does not decide, as seen here; empty while it does.
    std::string reason(base::SteadyTime now) const;

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
        return this->hard;
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

private:
    using VoteSet = std::set<std::string>;

    // Core.cpp
    void recover(const Recovered &recovered);
    Message messageTo(const std::string &vm, MessageKind kind) const;
    void send(Message message);
    void sendAfterSync(Message message);
    void setTerm(std::uint64_t term);
    void becomeFollower(std::uint64_t term, const std::string &leaderVm, base::SteadyTime now);
    void noteLeader(const std::string &vm, base::SteadyTime now);
    bool hearsLeader(base::SteadyTime now, std::chrono::milliseconds within) const;
    void setStanding(Standing standing);
    void noteAcknowledged(const std::string &vm, LogPosition position);
    void distrustMemory(const Message &message);
    void appendOwn(EntryKind kind, std::string data);
    void append(Entry entry);
    void truncateFrom(std::uint64_t index);
    void advanceCommit(std::uint64_t index);
    void applyToRecord(const Entry &entry);
    void settleMemberships(std::uint64_t index);
    std::vector<const Membership *> activeMemberships() const;
    std::vector<std::string> otherMembers() const;

    /// The highest value that a majority of each active membership reaches.
    std::int64_t majorityValue(const std::function<std::int64_t(const Member &)> &value) const;
    bool majorityOf(const VoteSet &votes) const;

    // CoreElection.cpp
    void tickElection(base::SteadyTime now);
    void resetElectionDeadline(base::SteadyTime now);
    bool isMember() const;
    bool mayTrustDisk(base::SteadyTime now) const;
    bool isAdvancedEnough(LogPosition candidate, base::SteadyTime now) const;
    bool hasGoneBack(const std::string &vm, LogPosition position) const;
    std::uint64_t nextTerm(std::uint64_t above) const;
    void askBeforeCampaign(base::SteadyTime now);
    void campaign(std::uint64_t above, std::uint64_t handoverTerm, base::SteadyTime now);
    void handlePreVote(const Message &message, base::SteadyTime now);
    void handlePreVoteReply(const Message &message, base::SteadyTime now);
    void handleVote(const Message &message, base::SteadyTime now);
    void handleVoteReply(const Message &message, base::SteadyTime now);
    void handleHandover(const Message &message, base::SteadyTime now);

    // CoreLeader.cpp
    void becomeLeader(EntryKind opening, std::string data, base::SteadyTime now);
    void sendEntries(const std::string &vm, bool heartbeat, base::SteadyTime now);
    void sendAppend(const std::string &vm, MemberProgress &progress, std::vector<Entry> batch, base::SteadyTime now);
    void sendChunk(const std::string &vm, MemberProgress &progress, base::SteadyTime now);
    void handleAppendReply(const Message &message, base::SteadyTime now);
    void handleSnapshotReply(const Message &message, base::SteadyTime now);
    void probeAfter(const std::string &vm, MemberProgress &progress, std::uint64_t index, base::SteadyTime now);
    bool noteAnswer(MemberProgress &progress, const Message &message);
    void admitIfCaughtUp(const std::string &vm, MemberProgress &progress);
    bool counts(const Member &member) const;
    void updateCommit();

    // CoreLeadership.cpp
    void tickLeader(base::SteadyTime now);
    void stepDown(base::SteadyTime now);
    void updateLease(base::SteadyTime now);
    bool answers(const Member &member, base::SteadyTime now) const;
    void continueHandover(base::SteadyTime now);

    // CoreFollower.cpp
    bool acceptLeader(const Message &message, base::SteadyTime now);
    void handleAppend(const Message &message, base::SteadyTime now);
    void handleSnapshotChunk(const Message &message, base::SteadyTime now);
    void installSnapshot(const std::shared_ptr<const Snapshot> &snapshot);
    void startOver();
    std::uint64_t lastPossibleMatch(const Message &message) const;
    bool contradictsCommitted(const Message &message) const;
    void appendReceived(const Message &message);

    // CoreFormation.cpp
    void tickFormation(base::SteadyTime now);
    void handleProbe(const Message &message, base::SteadyTime now);
    void handleProbeReply(const Message &message, base::SteadyTime now);
    struct Attendance {
        std::size_t present = 0;
        bool allDisks = true; ///< No member with a disk is absent.
        bool leaderHeard = false;
        bool majorityLost = false; ///< So many have lost their memory that the rest cannot be a majority.
    };
    bool isPresent(const Member &member, base::SteadyTime now) const;
    Attendance attendanceOf(const Membership &members, base::SteadyTime now) const;
    bool mayForm(base::SteadyTime now) const;

    /// By it the one who forms the group is chosen: the log, then whether it stays a member, then whether it may go on leading.
    std::tuple<LogPosition, bool, bool> formationRank(const std::string &vm, LogPosition position) const;
    bool everyPresentIsBehind(base::SteadyTime now) const;
    void form(base::SteadyTime now);
    void handleForm(const Message &message, base::SteadyTime now);
    void handleFormReply(const Message &message, base::SteadyTime now);

    // CoreReads.cpp
    struct PendingRead {
        std::uint64_t id = 0;
        base::SteadyTime since;
        base::SteadyTime askedAt;
    };
    void tickReads(base::SteadyTime now);
    void answerReads(base::SteadyTime now);
    void handleRead(const Message &message, base::SteadyTime now);
    void handleReadReply(const Message &message);

    CoreOptions options;
    const CoreSafety &safety;
    std::mt19937_64 random;
    CoreOutput output;

    // What every member keeps.
    HardState hard;
    Standing ownStanding = Standing::Blank;
    Role currentRole = Role::Follower;
    std::string leader;
    ReplicatedLog entries;
    std::uint64_t syncedEntries = 0; ///< Own entries up to here are synced.
    std::uint64_t commit = 0;
    GroupRecord committedRecord;
    std::vector<std::pair<std::uint64_t, Membership>> proposedMemberships; ///< By index, beyond the commit index.
    std::shared_ptr<const Snapshot> latestSnapshot;
    std::shared_ptr<const std::string> encodedSnapshot; ///< Of latestSnapshot; made when first sent.
    std::map<std::string, LogPosition> acknowledged; ///< How far each member is known to have acknowledged.
    LogPosition voteFloor; ///< The most advanced log seen when this member trusted its disk without a leader: it votes for none below.
    base::SteadyTime heardLeaderAt; ///< Or the start of this boot.
    base::SteadyTime electionDeadline;
    std::string incomingSnapshot;
    LogPosition incomingPosition;

    // A candidate's and a former's.
    VoteSet votes;
    std::map<std::string, Presence> presences;
    std::map<std::string, std::uint64_t> formationBoots; ///< Those who form the group anew; they count while this leader leads its first term.
    base::SteadyTime nextProbe;
    std::int64_t probeRound = 0;

    // A leader's.
    std::map<std::string, MemberProgress> progresses;
    std::uint64_t termStartIndex = 0;
    base::SteadyTime nextHeartbeat;
    base::SteadyTime majorityHeardAt;
    base::SteadyTime leaseUntil;
    std::string handoverTo;
    bool handingOver = false;
    base::SteadyTime handoverDeadline;

    std::vector<PendingRead> pendingReads;
};

} // namespace cranberryreel::replication
