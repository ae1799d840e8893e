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

/// One task of a replicated job. Part of JobRecord.
struct TaskRecord {
    model::JobState state = model::JobState::Accepted;
    base::ResultCode code = base::ResultCode::Ok;
    std::string upstream; ///< Upstream of the current or last attempt.
    std::string boot; ///< Boot id of that upstream when the attempt was recorded.
    std::uint32_t attempt = 0; ///< Number of attempts recorded so far.
    model::Resources reserved;
    std::uint32_t failures = 0; ///< Number of attempts that may have run.
};

/// One replicated job, equal on every member of the zone group. A plain value that ZoneStore owns; guarded by the mutex of its shard.
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

/// Derives the job's state and code from the states of its tasks.
void updateState(JobRecord &job, std::chrono::milliseconds now);

/// True if both specs describe the same work; ids, deadlines and priorities are not compared.
bool describesSameWork(const model::JobSpec &left, const model::JobSpec &right);

/// The job's status as reported to its caller.
model::JobStatus toJobStatus(const JobRecord &job);

} // namespace cranberryreel::zone
