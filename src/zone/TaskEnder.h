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

/// Where an ended attempt is to be acknowledged, if its upstream has told of the end.
struct EndReceipt {
    std::string upstream;
    model::TaskAttempt ended;
    bool seen = false;
};

/// Brings attempts to their end: takes in what upstreams report, decides whether the task runs again, and says of each attempt only what is proved. Owned by
/// LeaderTerm; one thread.
class TaskEnder
{
public:
    TaskEnder(TermParts &termParts, TaskCommander &taskCommander);

    /// The upstream says this of the task's current attempt.
    void reported(ActiveJob &job, std::uint32_t index, const model::TaskReport &report, base::SteadyTime now);

    /// The attempt provably never began and never will.
    void notStarted(ActiveJob &job, std::uint32_t index);

    /// The attempt is provably over, and nobody knows how it ended.
    void lost(ActiveJob &job, std::uint32_t index, base::SteadyTime now);

    /// Puts the task back into the planner's queue; of a cancelled job, ends it.
    void waitAgain(ActiveJob &job, std::uint32_t index, policy::TaskEnd end);

    /// The group keeps that the job is cancelled: stops what runs, ends what waits.
    void cancelled(ActiveJob &job);

    /// The group keeps that what waits of the job is refused.
    void refused(ActiveJob &job);
    void stopAll(const ActiveJob &job);

    /// Finishes the job here once the store has it final.
    void endKept(const model::JobId &id);

private:
    static EndReceipt receiptOf(const ActiveJob &job, std::uint32_t index);
    void acknowledge(const EndReceipt &receipt);
    void requeue(ActiveJob &job, std::uint32_t index);
    void endWaiting(ActiveJob &job);
    void endAttempt(ActiveJob &job, std::uint32_t index, model::JobState state, base::ResultCode code, const std::string &answer, base::SteadyTime now);
    void runAgain(ActiveJob &job, std::uint32_t index, policy::TaskEnd end);
    void settleEnd(ActiveJob &job, std::uint32_t index, model::JobState state, base::ResultCode code, const std::string &answer, base::SteadyTime now);
    bool mayRunAgain(const ActiveJob &job, const ActiveTask &task, base::SteadyTime now);
    void failGang(ActiveJob &job, std::uint32_t index);
    void restartGang(ActiveJob &job, std::uint32_t index);

    static constexpr double RetriesPerSuccess = 0.2;
    static constexpr double RetriesSavedUp = 100;

    TermParts &parts;
    TaskCommander &commander;
    policy::RetryBudget retries{{RetriesPerSuccess, RetriesSavedUp}};
};

} // namespace cranberryreel::zone
