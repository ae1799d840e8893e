#pragma once

#include "replication/GroupTimings.h"
#include "replication/HardState.h"
#include "replication/LogPosition.h"
#include "replication/Standing.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace cranberryreel::replication
{

/// The rules that the safety of a group depends on, one function each. This class holds the correct rules and is used in production; mutation tests override
/// single rules with wrong ones and require that an oracle detects the violation. Stateless.
class CoreSafety
{
public:
    virtual ~CoreSafety() = default;

    /// Whether this member may still vote for `candidate` in its current term.
    virtual bool isVoteAvailable(const HardState &state, const std::string &candidate) const
    {
        return state.votedFor.empty() || state.votedFor == candidate;
    }

    /// Members use terms that differ modulo this number, so that a term identifies its leader.
    virtual std::uint64_t termStride() const
    {
        return 16;
    }

    /// Whether a member whose log ends at `own` may vote for a candidate whose log ends at `candidate`.
    virtual bool isLogUpToDate(LogPosition candidate, LogPosition own) const
    {
        return !(candidate < own);
    }

    /// Whether a member of this standing may vote.
    virtual bool mayVote(Standing standing) const
    {
        return standing == Standing::Full;
    }

    /// Whether the standbys of a leader count like members.
    virtual bool countsStandbys() const
    {
        return false;
    }

    /// Whether a member or standby that stored the log up to `match` may be admitted.
    virtual bool isCaughtUp(std::uint64_t match, std::uint64_t commit, std::uint64_t lastIndex) const
    {
        constexpr std::uint64_t AllowedGap = 64;
        return match >= commit && match + AllowedGap >= lastIndex;
    }

    /// Whether an acknowledgement by a member of this standing counts toward a commit.
    virtual bool countsTowardCommit(Standing standing) const
    {
        return standing == Standing::Full;
    }

    /// Whether a leader of term `ownTerm` may commit an entry of `entryTerm` by counting its copies.
    virtual bool commitsByCounting(std::uint64_t entryTerm, std::uint64_t ownTerm) const
    {
        return entryTerm == ownTerm;
    }

    /// Whether a follower's log matches the leader's at an index where the leader has `leaderTerm`. `ownTerm` is none when the follower has no entry there.
    virtual bool logContinues(std::optional<std::uint64_t> ownTerm, std::uint64_t leaderTerm) const
    {
        return ownTerm.has_value() && *ownTerm == leaderTerm;
    }

    /// Whether a reply is sent only after the data that it confirms is synced.
    virtual bool answersAfterSync() const
    {
        return true;
    }

    /// Whether received entries are synced.
    virtual bool syncsEntries() const
    {
        return true;
    }

    /// How long the lease holds, counted from the sending of a message that a majority answered.
    virtual std::chrono::milliseconds lease(const GroupTimings &timings) const
    {
        return timings.lease();
    }

    /// Whether a member refuses its vote while it has recent contact with a leader.
    virtual bool refusesVoteDuringLeaderContact() const
    {
        return true;
    }

    /// Whether a member runs a pre-vote round before it raises its term.
    virtual bool usesPreVote() const
    {
        return true;
    }

    /// Whether a leader that does not reach a majority steps down.
    virtual bool stepsDownWithoutMajority() const
    {
        return true;
    }

    /// The term that a member records for the last entry of a snapshot it received.
    virtual std::uint64_t snapshotTerm(std::uint64_t term) const
    {
        return term;
    }

    /// Whether a leading witness only brings other members up to date and hands leadership over.
    virtual bool witnessOnlyHandsOver() const
    {
        return true;
    }

    /// Whether a member whose disk holds less than it once acknowledged counts as blank.
    virtual bool distrustsRolledBackDisk() const
    {
        return true;
    }

    /// Whether a cold start needs all members with a disk to be present.
    virtual bool formationNeedsAllDisks() const
    {
        return true;
    }

    /// Whether a cold start uses the most advanced log among the members present.
    virtual bool formationNeedsMostAdvancedLog() const
    {
        return true;
    }

    /// Whether a proposal of Durability::SyncedDisk waits until a disk has synced it.
    virtual bool waitsForSyncedDisk() const
    {
        return true;
    }

    /// Whether a change of membership also needs a majority of the old members.
    virtual bool membershipNeedsOldMajority() const
    {
        return true;
    }
};

} // namespace cranberryreel::replication
