#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/UpstreamReport.h"
#include "zone/JobRecord.h"
#include "zone/TaskCommander.h"
#include "zone/TaskEnder.h"
#include "zone/TaskName.h"
#include "zone/TermParts.h"

namespace cranberryreel::zone
{

/// Holds what upstreams report against what the scheduler believes: passes on what is expected, finds what is missing, stops what should not run, and takes in
/// what an earlier scheduler started. Owned by LeaderTerm; one thread.
class ReportIntake
{
public:
    ReportIntake(TermParts &termParts, TaskCommander &taskCommander, TaskEnder &taskEnder);

    /// `complete`: the report lists every task that the upstream knew when it was asked at `askedAt`.
    void take(const model::UpstreamReport &report, bool complete, base::SteadyTime askedAt);

private:
    void takeReport(const model::UpstreamReport &report, const model::TaskReport &task, base::SteadyTime now);
    void strayReported(const model::UpstreamReport &report, const model::TaskReport &task, base::SteadyTime now);
    void resolveUnknown(const JobRecord &record, const TaskName &name, const model::UpstreamReport &report, const model::TaskReport &task);
    void inherit(const TaskName &name, const model::UpstreamReport &report, const model::TaskReport &task, base::SteadyTime now);
    void findAbsent(const model::UpstreamReport &report, base::SteadyTime askedAt);

    TermParts &parts;
    TaskCommander &commander;
    TaskEnder &ender;
};

} // namespace cranberryreel::zone
