#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace cranberryreel::soak
{

/// When and how the runs of gangs end, whose members work on several upstreams. A single task is a gang of one. Owned by SoakUpstreams; any thread.
class GangWork
{
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    explicit GangWork(std::uint64_t seed);

    /// The first `failingRuns` runs of the step fail, the next one is done.
    void add(const std::string &step, std::size_t members, std::size_t failingRuns);

    void recordStart(const std::string &task, std::uint32_t attempt);
    void recordEnd(const std::string &task, std::uint32_t attempt, const std::string &how);

    /// How the run ends now; empty while it goes on, and for tasks of other kinds.
    std::string endOf(const std::string &task, std::uint32_t attempt);

    /// Number of runs that a member ended as failed.
    std::size_t failedRuns(const std::string &step) const;
    bool isDone(const std::string &step) const;

private:
    struct Run {
        std::map<std::string, SteadyTime> members; ///< Start time by task.
        std::optional<SteadyTime> workEnd; ///< Set once all members are present.
        std::map<std::string, std::string> ends; ///< How each member ends, once that is decided.
        bool broken = false; ///< A member ended otherwise.
    };

    struct Step {
        std::size_t members = 1;
        std::size_t failingRuns = 0;
        std::set<std::uint32_t> failed; ///< Attempts.
        bool done = false;
        std::map<std::uint32_t, Run> runs; ///< By attempt.
    };

    void decide(Step &step, Run &run) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    std::mt19937_64 random ABSL_GUARDED_BY(mutex);
    std::map<std::string, Step> steps ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::soak
