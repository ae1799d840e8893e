#pragma once

#include "cell/RunManager.h"
#include "cell/TermContext.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// Receives the result of an upstream's call: Ok once its change is committed.
using CompletionCallback = std::function<void(base::ResultCode)>;

/// Tracks the upstreams in one term: handles announcements, renews leases, processes the runs and ends that upstreams list, and removes upstreams that have
/// ended. Used by the scheduler's thread only. Owned by the CellTerm.
class UpstreamManager
{
public:
    UpstreamManager(TermContext &termContext, RunManager &runManager);

    /// Calls `done` once the announced description is committed; at once if nothing changed.
    void handleAnnouncement(const wire::AnnouncementT &announcement, const CompletionCallback &done);

    /// Handles the message of an upstream that it is leaving.
    void handleLeave(const std::string &id, const CompletionCallback &done);

    /// Ends all runs on the upstream and proposes the removal of its record.
    void removeUpstream(std::uint64_t number);

    /// Sends the renewals that are due, and ends the runs on silent upstreams whose leases have expired.
    void tick(base::SteadyTime now);

private:
    UpstreamTracker &trackerOf(const std::string &id, std::uint64_t number, base::SteadyTime now);
    bool isDraining(std::uint64_t number, const UpstreamTracker &tracker) const;
    bool needsRenewal(std::uint64_t number, const UpstreamTracker &tracker, base::SteadyTime now) const;
    void sendRenewal(std::uint64_t number, UpstreamTracker &tracker, const UpstreamTarget &target, base::SteadyTime now);
    void handleRenewal(std::uint64_t number, std::uint64_t incarnation, std::uint64_t acknowledged, base::SteadyTime sentAt, const RenewResult &result);
    void handleSilence(std::uint64_t number, UpstreamTracker &tracker, base::SteadyTime now, UpstreamCallStatus status);
    void processLists(std::uint64_t number, UpstreamTracker &tracker, base::SteadyTime sentAt, const RenewResult &result);
    std::set<RunKey> processRunning(std::uint64_t number, const std::vector<RunReport> &running);
    std::set<RunKey> processEnds(std::uint64_t number, UpstreamTracker &tracker, const std::vector<EndReport> &ended);
    void recordEnd(std::uint64_t number, UpstreamTracker &tracker, const TrackedRun &run, RunEndKind kind);
    void excludeSlow(base::SteadyTime now);
    /// Ends runs that the lists lack although they must contain them: the lists answer a renewal sent at `sentAt`.
    void endMissingRuns(std::uint64_t number, base::SteadyTime sentAt, const std::set<RunKey> &listed);
    std::optional<RunKey> runKeyOf(const RunName &run) const;
    void beginIncarnation(std::uint64_t number, UpstreamTracker &tracker, std::int64_t bornMs, std::int64_t earlierBornMs, base::SteadyTime now);
    /// Reads an incarnation that has just become known. From its answer on it refuses requests to earlier ones.
    void readAtOnce(std::uint64_t number, UpstreamTracker &tracker, const UpstreamTarget &target, base::SteadyTime now);
    void handleUnknownRestart(std::uint64_t number);
    void handleOtherUpstream(std::uint64_t number);
    void handleRestart(std::uint64_t number, UpstreamTracker &tracker, std::int64_t bornMs, std::int64_t earlierBornMs);
    void endAllRuns(std::uint64_t number);
    /// Whether the log holds what the next leader has to know of this incarnation's leases before anything starts there.
    bool isRecorded(std::uint64_t number, const UpstreamTracker &tracker, base::SteadyTime now) const;
    /// Changes the records that do not tell whether their upstream may hold a long lease.
    void recordLongLeases(base::SteadyTime now);
    /// Proposes the record with what is known of the leases of the upstream of this number.
    void proposeUpstream(std::uint64_t number, wire::UpstreamT upstream, const CompletionCallback &done);

    TermContext &context;
    RunManager &runs;
    base::SteadyTime nextSpeedCheck{};
    std::multiset<std::uint64_t> proposedRecords; ///< Numbers of the upstreams with proposed changes that are not committed yet; one entry each.
};

} // namespace cranberryreel::cell
