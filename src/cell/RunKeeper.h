#pragma once

#include "cell/AdviceCache.h"
#include "cell/Planner.h"
#include "cell/TermContext.h"

#include "cranberryreel/base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace cranberryreel::cell
{

/// Sends the orders for runs that the log records and finds out what became of them: starts, repeats a start that had no answer, and stops what is not to
/// run any more until its end is certain. Used by the scheduler's thread only. Owned by the term.
class RunKeeper
{
public:
    RunKeeper(TermContext &termContext, AdviceCache &adviceCache);

    /// Takes up the runs that an earlier leader placed.
    void adopt(base::SteadyTime now);

    /// Their placements are in the log: orders them.
    void placed(const std::vector<PlannedStart> &starts);

    /// Ends this run, wherever it is.
    void stop(RunTrack &track);

    /// Stops what runs for no one: tasks that are done elsewhere, jobs that are over, gangs that lost a member. True when there was any.
    bool reconcile();

    /// The same for these jobs only.
    bool reconcile(const std::set<std::uint64_t> &jobs);

    /// Sends what is due.
    void tick(base::SteadyTime now);

    /// Puts an end into the next batch; the track goes when the group has it.
    void end(RunTrack &track, wire::EndKind kind, const std::string &checkpoint);

    /// An upstream answers under another name: it is over, with all that ran there.
    std::function<void(std::uint64_t upstream)> upstreamGone;

    const std::map<TaskKey, std::set<std::uint64_t>> &failedAt() const
    {
        return this->failures;
    }

    void noteFailure(const TaskKey &task, std::uint64_t upstream);
    void forgetClosedJobs();

private:
    bool isNeeded(const CellState &state, const RunKey &key) const;
    void sendStart(RunTrack &track, base::SteadyTime now);
    void startAnswered(const RunKey &key, std::uint64_t life, const OrderResult &result);
    void startRefused(RunTrack &track, const OrderResult &result, base::SteadyTime now);
    void noteRefusal(const RunTrack &track, OrderAnswer answer, base::SteadyTime now);
    void sendStop(RunTrack &track, base::SteadyTime now);
    void stopAnswered(const RunKey &key, std::uint64_t life, const OrderResult &result);

    TermContext &context;
    AdviceCache &advice;
    std::map<TaskKey, std::set<std::uint64_t>> failures;
};

} // namespace cranberryreel::cell
