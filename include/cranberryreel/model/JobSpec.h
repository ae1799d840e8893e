#pragma once

#include "cranberryreel/model/JobKind.h"
#include "cranberryreel/model/Resources.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace cranberryreel::model
{

/// Identifies an accepted job or request: "<zone>-<16 hex digits>", where the zone is its home zone.
using JobId = std::string;

/// Describes a job or request as a caller submits it. Immutable once built by JobSpecBuilder, which checks every limit.
struct JobSpec {
    JobId id; ///< Assigned by the entry that accepted the job.
    JobKind kind = JobKind::Request;
    std::string partner; ///< Owner of the bearer key; never taken from the request body.
    std::string name; ///< The partner's name for this type of work; task sizes and run times are learned per (partner, name).
    std::string service; ///< Service of the register that must run the tasks; empty means any upstream.
    std::uint32_t tasks = 1; ///< Number of equal tasks; 1 for requests.
    Resources perTask; ///< Declared size of one task.
    std::int32_t priority = 0; ///< 0 to 9, larger is more urgent within the partner.
    std::chrono::milliseconds runTime{0}; ///< Declared run time of a task; 0 when not declared.
    std::chrono::milliseconds deadline{0}; ///< Time from acceptance to the answer; 0 means no deadline, which only jobs may have.
    bool repeatable = true; ///< False: the work is not idempotent and runs at most once.
    std::string key; ///< Idempotency key; required where repeatable is false. May start with "<zone>:" to choose the home zone.
    std::string payload; ///< Opaque bytes sent to the upstream in the start request.
};

} // namespace cranberryreel::model
