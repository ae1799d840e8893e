#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobSpec.h"
#include "cranberryreel/model/JobState.h"

#include <string>
#include <vector>

namespace cranberryreel::model
{

/// State of one task, as returned to the caller that submitted the job.
struct TaskStatus {
    std::uint32_t index = 0;
    JobState state = JobState::Accepted;
    base::ResultCode code = base::ResultCode::Ok;
    std::string upstream; ///< Upstream of the latest attempt; empty until the first start.
    std::uint32_t attempt = 0; ///< Number of starts so far.
};

/// State of a job, returned to its caller by submit, lookup and cancel.
struct JobStatus {
    JobId id;
    JobKind kind = JobKind::Request;
    std::string partner;
    std::string name;
    JobState state = JobState::Accepted;
    base::ResultCode code = base::ResultCode::Ok;
    std::string reason; ///< One sentence for the user; empty when the state needs no explanation.
    std::string answer; ///< The upstream's complete answer to a completed request.
    std::vector<TaskStatus> tasks;
};

} // namespace cranberryreel::model
