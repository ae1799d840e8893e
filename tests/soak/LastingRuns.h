#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::soak
{

/// Which tasks that last run on some upstream, and since when the others don't. Any thread.
class LastingRuns
{
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    /// From now on the task has to run.
    void expect(const std::string &task);

    void recordStart(const std::string &task);
    void recordEnd(const std::string &task);

    /// Whether all expected tasks run.
    bool allRun() const;

    /// The expected tasks that have not run for longer than the limit, counted from the end of their last run, or from the given time if that is later.
    std::vector<std::string> overdue(SteadyTime since, std::chrono::milliseconds limit) const;

private:
    struct Task {
        bool expected = false;
        int runs = 0;
        SteadyTime endedAt;
    };

    mutable absl::Mutex mutex;
    std::map<std::string, Task> tasks ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::soak
