#pragma once

#include "cranberryreel/base/ResultCode.h"
#include "zone/ActiveJob.h"
#include "zone/AttemptEndHandler.h"
#include "zone/TermParts.h"

#include <string>

namespace cranberryreel::zone
{

/// Ends waiting jobs that can never run, whose deadline has passed, or whose caller has cancelled them. Owned by LeaderTerm; used on the scheduler's thread
/// only.
class JobCloser
{
public:
    JobCloser(TermParts &termParts, AttemptEndHandler &attemptEndHandler);

    /// Ends a job that is not in the store and has no running task.
    void closeLocally(ActiveJob &job, base::ResultCode code, const std::string &reason);

    /// Ends a job that the planner refuses before any further task of it starts.
    void refuse(const model::JobId &id, base::ResultCode code, const std::string &reason);

    /// Schedules a check at the job's deadline that refuses the job if all its tasks still wait.
    void scheduleDeadlineCheck(ActiveJob &job);

private:
    void refuseIfStillWaiting(const model::JobId &id);

    TermParts &parts;
    AttemptEndHandler &endHandler;
};

} // namespace cranberryreel::zone
