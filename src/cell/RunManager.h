#pragma once

#include "cell/AdviceCache.h"
#include "cell/TermContext.h"
#include "cell/planning/Planner.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace cranberryreel::cell
{

/// Sends the start and stop requests for the runs that the log records. A start without an answer is repeated a few times; a stop is repeated until the end of
/// the run is certain. Used by the scheduler's thread only. Owned by the CellTerm.
class RunManager
{
public:
    RunManager(TermContext &termContext, AdviceCache &book);

    /// Adopts the runs that an earlier leader placed.
    void adopt(base::SteadyTime now);

    /// Sends start requests for tasks whose placements have been committed. `incarnations` are those of the upstreams, by number, that the plan knew; a run
    /// that was placed on an earlier incarnation ends as never started.
    void startPlaced(const std::vector<planning::PlannedStart> &starts, const std::map<std::uint64_t, std::uint64_t> &incarnations);

    /// Marks the run for stopping, whatever its phase; tick() sends the request.
    void requestStop(TrackedRun &run);

    /// Marks the runs that are no longer needed for stopping: of tasks that are done, of jobs that have ended, and of gangs that lost a member. Returns whether
    /// there was any. Ends the runs of upstreams that have been removed, for example while a placement there was being committed or before this leader's term.
    bool reconcile();

    /// As above, for these jobs only.
    bool reconcile(const std::set<std::uint64_t> &jobs);

    /// Sends the start and stop requests that are due.
    void tick(base::SteadyTime now);

    /// Adds the end of the run to the next batch; the run is no longer tracked once the end is committed.
    void proposeEnd(TrackedRun &run, wire::EndKind kind, const std::string &checkpoint);

    /// Called with each sign that the upstream has begun the run. Its job is no longer pending then.
    void recordBegun(TrackedRun &run);

    /// Adds the end `done` or `failed` of a run that was given up, if its task still waits or runs again and the end has not been taken into account.
    void proposeLateEnd(const RunKey &key, std::uint64_t upstream, wire::EndKind kind, const std::string &checkpoint);

    /// Called when another upstream answers at the address of this one, which has therefore ended with all its runs. Set before use.
    std::function<void(std::uint64_t upstream)> onUpstreamReplaced;

    /// Called when an answer shows that the upstream has started again, before its next incarnation is known. Set before use.
    std::function<void(std::uint64_t upstream)> onUpstreamRestarted;

    /// By task: the upstreams on which it has failed.
    const std::map<TaskKey, std::set<std::uint64_t>> &failedUpstreams() const
    {
        return this->failures;
    }

    void recordFailure(const TaskKey &task, std::uint64_t upstream);
    /// Drops the failures of jobs that are no longer open.
    void dropClosedJobs();

private:
    bool isNeeded(const CellState &state, const RunKey &key) const;
    void sendStart(TrackedRun &run, base::SteadyTime now);
    /// `leastClock`: the least that the clock of this incarnation could show when the request was sent.
    void handleStartResult(const RunKey &key, std::uint64_t incarnation, std::optional<std::chrono::milliseconds> leastClock, const UpstreamCallResult &result);
    void handleStartFailure(TrackedRun &run, const UpstreamCallResult &result, base::SteadyTime now);
    void recordStartFailure(const TrackedRun &run, UpstreamCallStatus status, base::SteadyTime now);
    void sendStop(TrackedRun &run, base::SteadyTime now);
    void handleStopResult(const RunKey &key, std::uint64_t incarnation, const UpstreamCallResult &result);

    TermContext &context;
    AdviceCache &adviceCache;
    std::map<TaskKey, std::set<std::uint64_t>> failures;
};

} // namespace cranberryreel::cell
