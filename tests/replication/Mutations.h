#pragma once

#include "replication/CoreSafety.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

/// Each class replaces one rule of CoreSafety by a wrong one.
namespace cranberryreel::replication::mutations
{

/// Also drops the rule that a term has only one candidate, because the wrong vote alone has no visible effect while that rule holds.
struct VotesTwiceInATerm : CoreSafety {
    std::uint64_t termStride() const override
    {
        return 1;
    }

    bool isVoteAvailable(const HardState & /*state*/, const std::string & /*candidate*/) const override
    {
        return true;
    }
};

struct VotesForShorterLogs : CoreSafety {
    bool isLogUpToDate(LogPosition /*candidate*/, LogPosition /*own*/) const override
    {
        return true;
    }
};

struct LetsBlankMembersVote : CoreSafety {
    bool mayVote(Standing /*standing*/) const override
    {
        return true;
    }
};

/// Also lets blank members vote, because counting them has no visible effect as long as they do not vote.
struct TreatsBlankMembersAsFull : CoreSafety {
    bool mayVote(Standing /*standing*/) const override
    {
        return true;
    }

    bool countsTowardCommit(Standing /*standing*/) const override
    {
        return true;
    }
};

struct CommitsEarlierTermsByCounting : CoreSafety {
    bool commitsByCounting(std::uint64_t /*entryTerm*/, std::uint64_t /*ownTerm*/) const override
    {
        return true;
    }
};

struct SkipsTheLogMatch : CoreSafety {
    bool logContinues(std::optional<std::uint64_t> /*ownTerm*/, std::uint64_t /*leaderTerm*/) const override
    {
        return true;
    }
};

struct AnswersBeforeSync : CoreSafety {
    bool answersAfterSync() const override
    {
        return false;
    }
};

struct SkipsTheSyncOfEntries : CoreSafety {
    bool syncsEntries() const override
    {
        return false;
    }
};

struct LeavesNoLeaseMargin : CoreSafety {
    std::chrono::milliseconds lease(const GroupTimings &timings) const override
    {
        return timings.electionMin;
    }
};

struct VotesDuringLeaderContact : CoreSafety {
    bool refusesVoteDuringLeaderContact() const override
    {
        return false;
    }
};

struct SkipsThePreVote : CoreSafety {
    bool usesPreVote() const override
    {
        return false;
    }
};

struct LeadsWithoutMajority : CoreSafety {
    bool stepsDownWithoutMajority() const override
    {
        return false;
    }
};

struct ForgetsTheSnapshotTerm : CoreSafety {
    std::uint64_t snapshotTerm(std::uint64_t /*term*/) const override
    {
        return 0;
    }
};

struct LetsTheWitnessLead : CoreSafety {
    bool witnessOnlyHandsOver() const override
    {
        return false;
    }
};

struct TrustsARolledBackDisk : CoreSafety {
    bool distrustsRolledBackDisk() const override
    {
        return false;
    }
};

struct FormsWithoutAllDisks : CoreSafety {
    bool formationNeedsAllDisks() const override
    {
        return false;
    }
};

struct FormsFromAnyLog : CoreSafety {
    bool formationNeedsMostAdvancedLog() const override
    {
        return false;
    }
};

struct AcknowledgesWithoutADisk : CoreSafety {
    bool waitsForSyncedDisk() const override
    {
        return false;
    }
};

struct ChangesMembersWithoutOldMajority : CoreSafety {
    bool membershipNeedsOldMajority() const override
    {
        return false;
    }
};

struct CountsStandbys : CoreSafety {
    bool countsStandbys() const override
    {
        return true;
    }
};

struct AdmitsNobody : CoreSafety {
    bool isCaughtUp(std::uint64_t /*match*/, std::uint64_t /*commit*/, std::uint64_t /*lastIndex*/) const override
    {
        return false;
    }
};

} // namespace cranberryreel::replication::mutations
