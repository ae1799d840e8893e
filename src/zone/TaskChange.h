#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobSpec.h"
#include "cranberryreel/model/JobState.h"
#include "cranberryreel/model/Resources.h"

#include <cstdint>
#include <string>

namespace cranberryreel::zone
{

/// The kind of a task change. The values are stored in log entries.
enum class TaskChangeKind : std::uint8_t {
    Assign, ///< The task is about to be started; committed first, so that every later leader knows which upstream to ask.
    End, ///< The task is final, with state and code.
    Requeue, ///< The attempt is provably over and the task waits again.
};

/// One change of a task's state, as the leader proposes it to the zone group.
struct TaskChange {
    model::JobId job;
    std::uint32_t task = 0;
    TaskChangeKind kind = TaskChangeKind::Assign;
    std::uint32_t attempt = 0;
    std::string upstream;
    std::string boot;
    model::Resources reserved;
    model::JobState state = model::JobState::Accepted;
    base::ResultCode code = base::ResultCode::Ok;
    bool mayHaveRun = false;
    std::string answer;
};

} // namespace cranberryreel::zone
