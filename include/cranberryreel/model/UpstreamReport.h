#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobState.h"
#include "cranberryreel/model/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::model
{

/// One task as an upstream reports it.
struct TaskReport {
    std::string taskId; ///< "<job id>.<task index>".
    std::uint32_t attempt = 0; ///< The attempt number that the start carried.
    JobState state = JobState::Running; ///< Running, Done, Failed or NotRun.
    Resources usage; ///< Measured use; lags.
    Resources reserved; ///< What the start named; zero where the upstream does not keep it.
    std::string answer; ///< For tasks that ended.
};

/// What an upstream says of itself: in its announcements, and in its answer to a renewal.
struct UpstreamReport {
    std::string id;
    std::string vm; ///< The VM it runs on, as the register names it.
    std::string zone; ///< Availability zone.
    std::string boot; ///< Changes with every restart of the upstream.
    std::string address; ///< "host:port" for calls to it.
    std::string service; ///< Register service it serves; empty means any.
    std::uint32_t slots = 0; ///< Tasks it runs at once at most.
    bool leaving = false; ///< True: no new work, running tasks finish.
    std::uint64_t epoch = 0; ///< Highest scheduler epoch it has seen.
    std::vector<TaskReport> tasks; ///< Running tasks, and ended ones not yet acknowledged.
};

} // namespace cranberryreel::model
