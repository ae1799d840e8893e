#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobSpec.h"
#include "cranberryreel/model/JobState.h"

#include <string>
#include <vector>

namespace cranberryreel::model
{

/// One task of a job as its caller sees it.
struct TaskStatus {
    std::uint32_t index = 0;
    JobState state = JobState::Accepted;
    base::ResultCode code = base::ResultCode::Ok;
    std::string upstream; ///< Where it runs or ran; empty while it waits.
    std::uint32_t attempt = 0; ///< Starts so far.
};

/// A job as its caller sees it: the answer to submit, lookup and cancel.
struct JobStatus {
    JobId id;
    JobKind kind = JobKind::Request;
    std::string partner;
    std::string name;
    JobState state = JobState::Accepted;
    base::ResultCode code = base::ResultCode::Ok;
    std::string reason; ///< One sentence for people; empty when the state says it all.
    std::string answer; ///< The upstream's whole answer, for a request that is done.
    std::vector<TaskStatus> tasks;
};

} // namespace cranberryreel::model
