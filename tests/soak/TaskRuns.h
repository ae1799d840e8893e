#pragma once

#include "soak/LastingRuns.h"
#include "soak/SoakReport.h"
#include "soak/TaskRun.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::soak
{

/// The runs on all upstreams. Checks that no task runs twice at the same time, and none of a step once its end was acknowledged. Owned by SoakUpstreams; any
/// thread.
class TaskRuns
{
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    TaskRuns(SoakReport &soakReport, LastingRuns &lastingRuns);

    void recordStart(const TaskRun &run);
    void recordEnd(const TaskRun &run, const std::string &how, SteadyTime endedAt);

    /// All that runs at a place ends at this time at the latest, as a call asked for that `origin` describes.
    void recordLease(const std::string &place, SteadyTime leaseEnd, const std::string &origin);

    /// Records that the cell acknowledged the end of a run.
    void recordAcknowledgement(const std::string &task, std::uint32_t attempt, const std::string &how);

private:
    struct Lease {
        SteadyTime end;
        std::string origin;
    };

    struct Step {
        bool done = false;
        std::set<std::uint32_t> failed; ///< Attempts.
    };

    void checkNoOtherRun(const TaskRun &run) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void checkMayStart(const TaskRun &run) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::string describe(const TaskRun &run) const;

    SoakReport &report;
    LastingRuns &lasting;
    mutable absl::Mutex mutex;
    std::map<std::string, std::vector<TaskRun>> running ABSL_GUARDED_BY(mutex); ///< By task.
    std::map<std::string, Lease> leases ABSL_GUARDED_BY(mutex); ///< By place.
    std::map<std::string, Step> acknowledged ABSL_GUARDED_BY(mutex); ///< By step.
};

} // namespace cranberryreel::soak
