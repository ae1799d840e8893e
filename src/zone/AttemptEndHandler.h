#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/TaskAttempt.h"
#include "cranberryreel/model/UpstreamReport.h"
#include "policy/Planner.h"
#include "policy/RetryBudget.h"
#include "zone/ActiveJob.h"
#include "zone/TaskCommander.h"
#include "zone/TermParts.h"

#include <cstdint>
#include <string>

namespace cranberryreel::zone
{

/// An ended attempt and the upstream that receives its acknowledgement.
struct EndReceipt {
    std::string upstream;
    model::TaskAttempt ended;
    bool reported = false; ///< True if the upstream reported the end; only then is the end acknowledged.
};

/// Ends attempts: evaluates the reports of upstreams, decides whether a task is retried, and records only outcomes that are proved. Owned by LeaderTerm; used
/// on the scheduler's thread only.
class AttemptEndHandler
{
public:
    AttemptEndHandler(TermParts &termParts, TaskCommander &taskCommander);

    /// Applies an upstream's report on the task's current attempt. Reports on other attempts are ignored.
    void handleReport(ActiveJob &job, std::uint32_t index, const model::TaskReport &report, base::SteadyTime now);

    /// Handles an attempt that provably did not start and cannot start later.
    void handleNotStarted(ActiveJob &job, std::uint32_t index);

    /// Handles an attempt that is provably over with an unknown result, such as on a lost or restarted upstream.
    void handleLost(ActiveJob &job, std::uint32_t index, base::SteadyTime now);

    /// Returns the task to the planner's queue; ends the task instead if its job is cancelled.
    void requeueInPlanner(ActiveJob &job, std::uint32_t index, policy::TaskEnd end);

    /// Runs after the cancel command is committed: stops running tasks and ends waiting ones.
    void handleCancelCommitted(ActiveJob &job);

    /// Runs after the refuse command is committed: ends the waiting tasks.
    void handleRefuseCommitted(ActiveJob &job);
    /// Sends a stop request for every running task of the job.
    void stopAll(const ActiveJob &job);

    /// Marks the job final here once ZoneStore holds it as final. Polls ZoneStore if all tasks have ended but the last change is not applied yet.
    void finishIfFinal(const model::JobId &id);

private:
    static EndReceipt makeReceipt(const ActiveJob &job, std::uint32_t index);
    void acknowledge(const EndReceipt &receipt);
    void proposeRequeue(ActiveJob &job, std::uint32_t index);
    void endWaitingTasks(ActiveJob &job);
    void endAttempt(ActiveJob &job, std::uint32_t index, model::JobState state, base::ResultCode code, const std::string &answer, base::SteadyTime now);
    void scheduleRetry(ActiveJob &job, std::uint32_t index, policy::TaskEnd end);
    void recordEnd(ActiveJob &job, std::uint32_t index, model::JobState state, base::ResultCode code, const std::string &answer, base::SteadyTime now);
    bool mayRetry(const ActiveJob &job, const ActiveTask &task, base::SteadyTime now);
    void beginGangRestart(ActiveJob &job, std::uint32_t index);
    void handleGangTaskEnd(ActiveJob &job, std::uint32_t index);

    static constexpr double RetriesPerSuccess = 0.2;
    static constexpr double MaxSavedRetries = 100;

    TermParts &parts;
    TaskCommander &commander;
    policy::RetryBudget retryBudget{{RetriesPerSuccess, MaxSavedRetries}};
};

} // namespace cranberryreel::zone
