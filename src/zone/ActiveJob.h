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

/// Where a task stands in the scheduler's hands.
enum class TaskStage : std::uint8_t {
    Waiting,
    Assigning, ///< Placed; the group has yet to keep the record.
    Starting, ///< The start is on its way.
    Doubtful, ///< The answer to the start was lost; the upstream is asked anew.
    Resolving, ///< Taken over from an earlier scheduler; its upstream has yet to report.
    Running,
    Held, ///< Ended; waits for the other tasks of its gang to end, to start again with them.
    Ended,
};

struct ActiveTask {
    TaskStage stage = TaskStage::Waiting;
    std::uint32_t attempt = 0;
    std::uint32_t failures = 0; ///< Attempts that may have run.
    std::string upstream;
    std::string boot; ///< Of the upstream, when the attempt began.
    model::Resources reserved;
    base::SteadyTime confirmedAt; ///< When the upstream first said that it runs.
    bool preempting = false;
    bool endUnseen = false; ///< The attempt is over, but its upstream has not said how; what it may still say is not to be forgotten there.
    observe::Span span; ///< From placement to end.
};

/// Someone to be told when the job is final, or at `until`, whichever comes first.
struct Waiter {
    std::function<void()> tell;
    base::SteadyTime until;
};

/// One job in the hands of the active scheduler. For replicated jobs the ZoneStore holds the truth and this is the working copy; for requests that are not
/// replicated this is all there is. Owned by JobTable; touched by the scheduler's thread only.
struct ActiveJob {
    model::JobSpec spec;
    bool replicated = false;
    bool submitting = false; ///< The group has yet to keep it; nothing of it may be dispatched.
    bool cancelled = false;
    bool restarting = false; ///< A gang that lost a task: all its tasks end, then all start again.
    bool mayHaveRun = false; ///< Under an earlier scheduler, whose memory of it is gone; it can no more be called not run.
    bool inherited = false; ///< Found running on an upstream after a takeover, before any caller asked for it.
    std::vector<ActiveTask> tasks;
    model::JobState state = model::JobState::Accepted; ///< Of jobs that are not replicated.
    base::ResultCode code = base::ResultCode::Ok;
    std::string reason;
    std::string answer;
    base::SteadyTime acceptedAt;
    std::optional<base::SteadyTime> deadlineAt;
    std::optional<base::SteadyTime> finalAt;
    std::vector<std::uint32_t> heldStarts; ///< Tasks placed while `submitting`.
    std::vector<Waiter> waiters;
    std::string traceparent;
    observe::Span span; ///< From acceptance to the final state.
};

} // namespace cranberryreel::zone
