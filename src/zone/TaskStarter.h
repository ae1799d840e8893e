#pragma once

#include "cranberryreel/base/Clock.h"
#include "policy/Planner.h"
#include "upstream/UpstreamAdapter.h"
#include "zone/ActiveJob.h"
#include "zone/AttemptEndHandler.h"
#include "zone/TermParts.h"

#include <cstdint>
#include <optional>

namespace cranberryreel::zone
{

/// Starts placed tasks: records the placement, sends the start request, and queries the upstream on a new connection if the answer is lost. Owned by
/// LeaderTerm; used on the scheduler's thread only.
class TaskStarter
{
public:
    TaskStarter(TermParts &termParts, AttemptEndHandler &attemptEndHandler);

    /// Begins a new attempt on the upstream that the planner chose.
    void place(const policy::Decision &decision, base::SteadyTime now);

    /// Starts the tasks that were placed before the group had committed the job.
    void startDeferred(ActiveJob &job, base::SteadyTime now);

private:
    void handleAssignResult(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, base::ResultCode code);
    void sendStart(ActiveJob &job, std::uint32_t index);
    upstream::StartRequest makeStartRequest(const ActiveJob &job, std::uint32_t index, base::SteadyTime now) const;
    void handleStartAnswer(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, const upstream::TaskAnswer &answer);
    void handleUnansweredStart(ActiveJob &job, std::uint32_t index);
    void queryTask(const model::JobId &id, std::uint32_t index, std::uint32_t attempt, std::optional<base::SteadyTime> blockedAt);
    void handleQueryAnswer(
        const model::JobId &id, std::uint32_t index, std::uint32_t attempt, std::optional<base::SteadyTime> blockedAt, const upstream::TaskAnswer &answer);
    void blockLateStart(const model::JobId &id, std::uint32_t index, std::uint32_t attempt);

    TermParts &parts;
    AttemptEndHandler &endHandler;
};

} // namespace cranberryreel::zone
