#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "cranberryreel/model/JobState.h"
#include "cranberryreel/model/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::model
{

/// State of one task as its upstream reports it.
struct TaskReport {
    std::string taskId; ///< "<job id>.<task index>".
    std::uint32_t attempt = 0; ///< Attempt number from the start request.
    JobState state = JobState::Running; ///< Running, Done, Failed or NotRun.
    Resources usage; ///< Measured usage; lags behind the actual usage.
    Resources reserved; ///< Reservation named in the start request; zero if the upstream does not store it.
    std::string answer; ///< Set for ended tasks only.
};

/// State of an upstream and its tasks, as sent in its announcements and in its answers to renew requests.
struct UpstreamReport {
    std::string id;
    std::string vm; ///< Register name of the VM that the upstream runs on.
    std::string zone; ///< Availability zone.
    std::string boot; ///< Identifies the incarnation; changes with every restart of the upstream.
    std::string address; ///< "host:port" of the upstream's HTTP server.
    std::string service; ///< Service of the register that the upstream runs; empty means any.
    std::uint32_t slots = 0; ///< Maximum number of tasks that run at the same time.
    bool leaving = false; ///< True: the upstream takes no new work; running tasks finish.
    std::uint64_t epoch = 0; ///< Highest scheduler epoch that the upstream has seen.
    std::vector<TaskReport> tasks; ///< Running tasks, and ended tasks whose end is not yet acknowledged.
};

} // namespace cranberryreel::model
