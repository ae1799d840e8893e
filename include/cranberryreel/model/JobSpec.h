#pragma once

#include "cranberryreel/model/JobKind.h"
#include "cranberryreel/model/Resources.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace cranberryreel::model
{

/// Names one piece of accepted work: "<zone>-<16 hex digits>", the zone being its home.
using JobId = std::string;

/// What a caller submits. Immutable once built; made by JobSpecBuilder, which checks every limit.
struct JobSpec {
    JobId id; ///< Given by the entry that accepted it.
    JobKind kind = JobKind::Request;
    std::string partner; ///< From the bearer key, never from the body.
    std::string name; ///< The partner's name for work of this sort; sizes and run times are learned per (partner, name).
    std::string service; ///< Register service that must run it; empty means any upstream.
    std::uint32_t tasks = 1; ///< Number of equal tasks; 1 for requests.
    Resources perTask; ///< Declared size of one task.
    std::int32_t priority = 0; ///< 0 to 9, larger is more urgent within the partner.
    std::chrono::milliseconds runTime{0}; ///< Declared run time of a task; 0 when not declared.
    std::chrono::milliseconds deadline{0}; ///< From acceptance to answer; 0 means none (jobs), requests always have one.
    bool repeatable = true; ///< False: the work runs at most once (non-idempotent).
    std::string key; ///< Idempotency key; required where repeatable is false. May start with "<zone>:" to choose the home zone.
    std::string payload; ///< Opaque bytes handed to the upstream with the start.
};

} // namespace cranberryreel::model
