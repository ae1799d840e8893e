#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobSpec.h"
#include "cranberryreel/model/JobState.h"
#include "cranberryreel/model/JobStatus.h"
#include "cranberryreel/model/Resources.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::zone
{

/// One task of a replicated job, as every member of the zone group holds it.
struct TaskRecord {
    model::JobState state = model::JobState::Accepted;
    base::ResultCode code = base::ResultCode::Ok;
    std::string upstream; ///< Where its current or last attempt went.
    std::string boot; ///< Of that upstream, when the attempt was recorded.
    std::uint32_t attempt = 0; ///< Attempts recorded so far.
    model::Resources reserved;
    std::uint32_t failures = 0; ///< Attempts that may have run.
};

/// One replicated job. A plain value inside ZoneStore's shards.
struct JobRecord {
    model::JobSpec spec;
    std::vector<TaskRecord> tasks;
    bool cancelled = false;
    model::JobState state = model::JobState::Accepted;
    base::ResultCode code = base::ResultCode::Ok;
    std::string reason;
    std::string answer;
    std::chrono::milliseconds acceptedAt{0}; ///< Unix time.
    std::chrono::milliseconds finalAt{0}; ///< Unix time; 0 until the job is final.
};

/// Derives the job's own state and code from its tasks'.
void settle(JobRecord &job, std::chrono::milliseconds now);

/// True when both ask for the same work; ids, deadlines and priorities aside.
bool sameWork(const model::JobSpec &left, const model::JobSpec &right);

/// The job as its caller sees it.
model::JobStatus statusOf(const JobRecord &job);

} // namespace cranberryreel::zone
