#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/UpstreamReport.h"
#include "zone/AttemptEndHandler.h"
#include "zone/JobRecord.h"
#include "zone/TaskCommander.h"
#include "zone/TaskName.h"
#include "zone/TermParts.h"

namespace cranberryreel::zone
{

/// Compares the reports of upstreams with the scheduler's state: forwards reports on current attempts, ends tasks that are missing, stops tasks that should
/// not run, and adopts requests that an earlier leader started. Owned by LeaderTerm; used on the scheduler's thread only.
class ReportReconciler
{
public:
    ReportReconciler(TermParts &termParts, TaskCommander &taskCommander, AttemptEndHandler &attemptEndHandler);

    /// `complete` is true if the report lists every task that the upstream knew when it was asked at `askedAt`.
    void reconcile(const model::UpstreamReport &report, bool complete, base::SteadyTime askedAt);

private:
    void reconcileTask(const model::UpstreamReport &report, const model::TaskReport &task, base::SteadyTime now);
    void reconcileUntracked(const model::UpstreamReport &report, const model::TaskReport &task, base::SteadyTime now);
    void resolveUnknown(const JobRecord &record, const TaskName &name, const model::UpstreamReport &report, const model::TaskReport &task);
    void adoptRequest(const TaskName &name, const model::UpstreamReport &report, const model::TaskReport &task, base::SteadyTime now);
    void endUnlistedTasks(const model::UpstreamReport &report, base::SteadyTime askedAt);

    TermParts &parts;
    TaskCommander &commander;
    AttemptEndHandler &endHandler;
};

} // namespace cranberryreel::zone
