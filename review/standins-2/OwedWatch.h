#pragma once

#include "Client.h"
#include "Fleet.h"
#include "Record.h"

#include <chrono>
#include <string>

namespace cranberryreel::review
{

/// A job of tasks of one size, as a client knows it.
struct WatchedJob {
    std::string prefix;
    std::string id;
    int taskCpuMillis = 0;
};

/// What was seen of a job after the last submission.
struct OwedResult {
    bool completed = false;
    std::chrono::milliseconds owedFor{0}; ///< How long the job was owed on end; see awaitJob().
};

/// Watches a job that was just submitted until it is completed, or until a little longer than `finish_s` plus 3 s. From `finish_s` on, the job is owed while
/// nothing of it runs, there is room for a task of it twice over, and under half of the service's room is in use.
OwedResult awaitJob(const WatchedJob &job, const Client &client, const Fleet &fleet, Record &record);

/// The rule breaks when a job is owed for longer than this.
constexpr std::chrono::milliseconds AllowedWait{3000};

} // namespace cranberryreel::review
