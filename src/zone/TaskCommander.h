#pragma once

#include "upstream/UpstreamAdapter.h"
#include "zone/ActiveJob.h"
#include "zone/TermParts.h"

#include <cstdint>

namespace cranberryreel::zone
{

/// Sends stop, checkpoint and throttle requests to upstreams. The answers are ignored; results arrive with the upstreams' reports. Owned by LeaderTerm; used
/// on the scheduler's thread only.
class TaskCommander
{
public:
    explicit TaskCommander(TermParts &termParts);

    void stop(const ActiveJob &job, std::uint32_t index);
    void stopAll(const ActiveJob &job);

    /// Requests a checkpoint and then a stop; the task waits again once its upstream reports the end.
    void preempt(ActiveJob &job, std::uint32_t index);
    void throttle(const ActiveJob &job, std::uint32_t index);

    /// Stops an attempt that is not in JobTable, or is not the task's current attempt.
    void stopUntracked(const std::string &upstream, const std::string &taskId, std::uint32_t attempt);

private:
    void sendCommand(
        const std::string &upstream, const std::string &taskId, std::uint32_t attempt, upstream::TaskCommand taskCommand, const std::function<void()> &then);

    TermParts &parts;
};

} // namespace cranberryreel::zone
