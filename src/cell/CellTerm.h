#pragma once

#include "cell/AdviceCache.h"
#include "cell/GangRunLog.h"
#include "cell/JobLifecycleLog.h"
#include "cell/PeerCallHandler.h"
#include "cell/RefusalTimes.h"
#include "cell/RunManager.h"
#include "cell/TeamReport.h"
#include "cell/TermContext.h"
#include "cell/UpstreamManager.h"
#include "cell/planning/Planner.h"
#include "replication/Group.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// One term of leadership of the cell's scheduler. A term plans, proposes its decisions as log entries, and acts on them once they are committed. Destroyed
/// when the term ends. Used by the scheduler's thread only. Owned by the CellScheduler.
class CellTerm
{
public:
    CellTerm(const CellOptions &cellOptions,
             std::uint64_t term,
             CellStore &store,
             UpstreamCalls &calls,
             AdviceDispatcher &advice,
             replication::Group &cellGroup,
             std::function<void(std::function<void()>)> post);
    CellTerm(const CellTerm &) = delete;
    CellTerm &operator=(const CellTerm &) = delete;

    /// Answers the waiting callers: NotLeader for changes that were not proposed, GroupUnavailable for proposed ones, whose outcome is unknown.
    ~CellTerm();

    /// Handles a peer call; see PeerCallHandler::handle().
    void call(wire::CallT call, const ReplyCallback &reply);

    /// Does the timed work. Called several times a second.
    void tick();

private:
    /// An upstream that a query names, as it was known then.
    struct AskedUpstream {
        std::uint64_t number = 0;
        std::uint64_t incarnation = 0;
    };

    void planAndPropose();
    void planStarts(base::SteadyTime now);
    planning::RunView runView(const RunKey &key, base::SteadyTime now);
    void preempt(const std::vector<RunKey> &stops);
    void logLoad(const std::vector<planning::ServiceLoad> &loads);
    void logWaiting(const std::vector<planning::WaitingStep> &waiting, base::SteadyTime now);
    bool sendAdviceQueries(std::vector<planning::AdviceQuery> queries);
    std::map<std::string, std::chrono::milliseconds> overdueQueues(const std::vector<planning::AdviceQuery> &queries, base::SteadyTime now) const;
    bool sendAdviceQuery(const planning::AdviceQuery &query);
    void recordAdviceUse(const std::vector<planning::PlannedStart> &starts);
    void handleAdvice(const planning::AdviceQuery &query, const std::map<std::string, AskedUpstream> &asked, const AdviceResult &result);
    void proposeBatch();
    void handleProposeResult(const wire::CommandT &command, base::ResultCode code);
    void recordJobProgress(const wire::CommandT &command);
    void addBegunJobs();
    void addDueOccurrences();
    void addJobsToForget();

    TermContext context;
    replication::Group &group;
    AdviceCache adviceCache;
    planning::UrgentDemand urgentDemand;
    planning::HoldTerms holdTerms;
    std::map<std::string, std::size_t> pendingQueries; ///< Advice queries without an answer, by queue.
    RefusalTimes<std::string> refusedQueues; ///< Queues whose advice queries found no VM free.
    RunManager runs;
    UpstreamManager upstreams;
    JobLifecycleLog jobLog;
    GangRunLog gangLog;
    PeerCallHandler peerCalls;
    TeamReport teamReport;
    std::vector<CommitCallback> proposedCallbacks; ///< Waiting for the outcome of the proposed batch.
    bool proposing = false;
    bool planQueued = false;
    base::SteadyTime nextPlan{}; ///< No plan before this time; set after a plan without a decision.
    base::SteadyTime nextCleanUp{};
    base::SteadyTime nextReconcile{};
    base::SteadyTime nextLoadLog{};
};

/// Unix time in milliseconds. Used for due times, job ages and retention only, since it can jump.
std::int64_t unixTimeMs();

} // namespace cranberryreel::cell
