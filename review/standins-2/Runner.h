#pragma once

#include "Cell.h"
#include "Record.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

struct MHD_Daemon;

namespace cranberryreel::review
{

/// What a runner says of itself.
struct RunnerOptions {
    std::string id;
    std::string service;
    std::string zone;
    std::string rack;
    int cpuMillis = 64000;
    int memoryMb = 131072;
};

/// One run of a task, from its start to its end.
struct TaskRun {
    std::string runner;
    std::string task; ///< ID.K.STEP.INDEX
    int attempt = 0;
    Steady::time_point begunAt;
    Steady::time_point endedAt; ///< Not set while it runs.
    std::string how; ///< Empty while it runs.

    bool running() const
    {
        return this->how.empty();
    }
};

/// A runner as the protocol's page describes it, always sound. The Spec of a job says what its tasks do: "work N" ends them as done after N ms, "last" lets
/// them run until they are stopped. Any thread.
class Runner
{
public:
    Runner(RunnerOptions runnerOptions, const Cell &runnerCell, Record &caseRecord);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    const RunnerOptions &options() const
    {
        return this->own;
    }

    /// All runs since the start, those that ended too.
    std::vector<TaskRun> runs() const;

    /// Lets a running task fail through its own fault. Returns whether it ran.
    bool fail(const std::string &task);

    /// Handles one request; `expected` is its Expect-Instance header. Called by the server.
    std::pair<unsigned int, std::string> handle(const std::string &path, const std::string &expected, const std::string &body);

private:
    struct Run {
        std::size_t index = 0; ///< In `history`.
        std::int64_t workMs = -1; ///< -1 for one that lasts.
        bool stopping = false;
        Steady::time_point stopAt;
    };

    struct End {
        std::uint64_t number = 0;
        std::string task;
        int attempt = 0;
        std::string how;
    };

    std::int64_t clockMs() const;
    nlohmann::json refusal(const char *reason) const;
    std::pair<unsigned int, nlohmann::json> startRun(const nlohmann::json &body);
    std::pair<unsigned int, nlohmann::json> stopRun(const nlohmann::json &body);
    std::pair<unsigned int, nlohmann::json> hold(const nlohmann::json &body, std::unique_lock<std::mutex> &lock);
    bool isFenced(const nlohmann::json &body);
    void extendLease(const nlohmann::json &body);
    void endRun(const std::string &task, const std::string &how);
    void keepTime();
    void announce();

    const RunnerOptions own;
    const Cell &cell;
    Record &record;
    const Steady::time_point startedAt = Steady::now();
    const std::int64_t bornMs;
    MHD_Daemon *server = nullptr;
    std::string address;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<TaskRun> history;
    std::map<std::string, Run> current; ///< By task.
    std::map<std::string, int> closedAttempts; ///< Highest attempt that was stopped or has ended here, by task.
    std::vector<End> ends;
    std::uint64_t lastEnd = 0;
    std::uint64_t fence = 0;
    std::int64_t leaseEndMs = 0;
    std::atomic<bool> stopped{false};
    std::thread timer;
    std::thread announcer;
};

} // namespace cranberryreel::review
