#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobSpec.h"
#include "cranberryreel/model/JobState.h"
#include "cranberryreel/model/Resources.h"
#include "observe/Trace.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::zone
{

/// The state of a task in the memory of the active scheduler.
enum class TaskStage : std::uint8_t {
    Waiting,
    Assigning, ///< Placed by the planner; the group has yet to commit the record.
    Starting, ///< The start request was sent and is not answered yet.
    StartUnconfirmed, ///< The answer to the start request was lost; the scheduler queries the upstream.
    AwaitingReadBack, ///< Started by an earlier leader, or not sent because the leader lease had expired; its upstream has yet to report.
    Running,
    AwaitingRetry, ///< Ended; waits for its retry delay, or for the other tasks of its gang to end.
    Ended,
};

/// One task of an ActiveJob, with its current attempt.
struct ActiveTask {
    TaskStage stage = TaskStage::Waiting;
    std::uint32_t attempt = 0;
    std::uint32_t failures = 0; ///< Number of attempts that may have run.
    std::string upstream;
    std::string boot; ///< Boot id of the upstream when the attempt began.
    model::Resources reserved;
    base::SteadyTime confirmedAt; ///< When the upstream first reported the attempt as running.
    bool preempting = false;
    bool endUnreported = false; ///< The attempt is over without an end report; it is not acknowledged, so that the upstream keeps a late report.
    observe::Span span; ///< Covers the attempt from placement to its end.
};

/// A callback that runs once: when the job is final, or at `until` if that is earlier.
struct Waiter {
    std::function<void()> notify;
    base::SteadyTime until;
};

/// One job of the active scheduler. A replicated job is authoritative in ZoneStore and this is a working copy; a job that is not replicated exists only here.
/// Owned by JobTable; used on the scheduler's thread only.
struct ActiveJob {
    model::JobSpec spec;
    bool replicated = false;
    bool commitPending = false; ///< The group has yet to commit the job; no task of it may be started.
    bool cancelled = false;
    bool restarting = false; ///< A task of this gang ended early: all its tasks end before any of them starts again.
    bool mayHaveRun = false; ///< An earlier leader may have run the job and its records are lost, so the job cannot be reported as not run.
    bool adopted = false; ///< Found running on an upstream after a take-over; no caller has submitted it to this scheduler yet.
    std::vector<ActiveTask> tasks;
    model::JobState state = model::JobState::Accepted; ///< Valid only if the job is not replicated.
    base::ResultCode code = base::ResultCode::Ok;
    std::string reason;
    std::string answer;
    base::SteadyTime acceptedAt;
    std::optional<base::SteadyTime> deadlineAt;
    std::optional<base::SteadyTime> finalAt;
    std::vector<std::uint32_t> deferredStarts; ///< Indices of tasks that were placed while `commitPending` was set.
    std::vector<Waiter> waiters;
    std::string traceparent;
    observe::Span span; ///< Covers the job from acceptance to its final state.
};

} // namespace cranberryreel::zone
