#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobSpec.h"
#include "cranberryreel/model/JobState.h"
#include "cranberryreel/model/Resources.h"

#include <cstdint>
#include <string>

namespace cranberryreel::zone
{

enum class TaskChangeKind : std::uint8_t {
    Assign, ///< About to be dispatched: recorded first, so that every later scheduler knows where to look.
    End, ///< Final, with state and code.
    Requeue, ///< The attempt is over, provably; the task waits again.
};

/// One step of one task's life, as the scheduler proposes it to its group.
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
