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

/// The decisions that the safety of a group rests on, one function each. This is the correct one, used everywhere; tests put single wrong decisions in its
/// place and demand that an oracle notices.
class CoreSafety
{
public:
    virtual ~CoreSafety() = default;

    /// May this member, in its term, vote for `candidate`?
    virtual bool voteIsFree(const HardState &state, const std::string &candidate) const
    {
        return state.votedFor.empty() || state.votedFor == candidate;
    }

    /// Terms of different members differ modulo this, so that a term names its leader.
    virtual std::uint64_t termStride() const
    {
        return 16;
    }

    /// May a member with a log ending at `own` vote for a candidate whose log ends at `candidate`?
    virtual bool logIsAdvancedEnough(LogPosition candidate, LogPosition own) const
    {
        return !(candidate < own);
    }

    /// May a member of this standing vote?
    virtual bool mayVote(Standing standing) const
    {
        return standing == Standing::Full;
    }

    /// Does an acknowledgement by a member of this standing count?
    virtual bool countsTowardCommit(Standing standing) const
    {
        return standing == Standing::Full;
    }

    /// May a leader commit an entry of `entryTerm` by counting its copies?
    virtual bool commitsByCounting(std::uint64_t entryTerm, std::uint64_t ownTerm) const
    {
        return entryTerm == ownTerm;
    }

    /// Does the follower's log continue at a place where the leader's has `leaderTerm`? None: the follower has nothing there.
    virtual bool logContinues(std::optional<std::uint64_t> ownTerm, std::uint64_t leaderTerm) const
    {
        return ownTerm.has_value() && *ownTerm == leaderTerm;
    }

    /// Does an answer wait for the sync of what it promises?
    virtual bool answersAfterSync() const
    {
        return true;
    }

    /// Are received entries synced at all?
    virtual bool syncsEntries() const
    {
        return true;
    }

    /// How long after a message that a majority answered does the lease hold?
    virtual std::chrono::milliseconds lease(const GroupTimings &timings) const
    {
        return timings.lease();
    }

    /// Does a member refuse its vote while it hears a leader?
    virtual bool keepsLeaderWhileHeard() const
    {
        return true;
    }

    /// Does a member ask whether it would win before it raises its term?
    virtual bool asksBeforeCampaign() const
    {
        return true;
    }

    /// Does a leader without a majority in reach step down?
    virtual bool stepsDownWithoutMajority() const
    {
        return true;
    }

    /// The term that a member records for the last entry of a snapshot it received.
    virtual std::uint64_t snapshotTerm(std::uint64_t term) const
    {
        return term;
    }

    /// Does a leading witness only bring others up to date and hand over?
    virtual bool witnessOnlyHandsOver() const
    {
        return true;
    }

    /// Does a member whose disk shows less than it once acknowledged treat its memory as lost?
    virtual bool distrustsRolledBackDisk() const
    {
        return true;
    }

    /// Does a cold start wait for all members with a disk?
    virtual bool formationNeedsAllDisks() const
    {
        return true;
    }

    /// Does a cold start take the most advanced log among those present?
    virtual bool formationTakesMostAdvanced() const
    {
        return true;
    }

    /// Does the wait for a synced disk wait for one?
    virtual bool waitsForSyncedDisk() const
    {
        return true;
    }

    /// Does a change of membership need the majority of the old members, too?
    virtual bool membershipNeedsOldMajority() const
    {
        return true;
    }
};

} // namespace cranberryreel::replication
