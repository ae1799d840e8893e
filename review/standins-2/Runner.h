#pragma once

#include "Cell.h"
#include "LoopbackServer.h"
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
    int holdMaxMs = 6000; ///< Longer leases are shortened to this.
    bool announces = true; ///< Sends heartbeats from the start on; else from announce() on.
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

    /// Announces that it leaves.
    void drain();

    /// Starts to send heartbeats.
    void announce();

    /// Leaves the next renewal that grants a lease without an answer, and does not carry it out.
    void keepNextRenewal();

    /// The body of the renewal that was kept; empty if there was none yet.
    std::string keptRenewal() const;

    /// Carries out a call whose sender has given up on the answer.
    void carryOutLate(const std::string &path, const std::string &body);

    /// Deregisters and ends, with all that runs here: its address refuses connections from then on.
    void leave();

    /// Cuts the runner off: no call reaches it, and it sends no heartbeat. What runs goes on.
    void cutOff();

    /// Ends the cut.
    void rejoin();

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

    ServedAnswer handle(const ServedRequest &request);
    std::int64_t clockMs() const;
    nlohmann::json refusal(const char *reason) const;
    std::pair<unsigned int, nlohmann::json> startRun(const nlohmann::json &body);
    std::pair<unsigned int, nlohmann::json> stopRun(const nlohmann::json &body);
    std::pair<unsigned int, nlohmann::json> hold(const nlohmann::json &body, std::unique_lock<std::mutex> &lock);
    bool isFenced(const nlohmann::json &body);
    void extendLease(const nlohmann::json &body);
    void endRun(const std::string &task, const std::string &how);
    void keepTime();
    void sendHeartbeats();
    bool postControl(std::size_t target, const std::string &action, const std::string &body) const;

    const RunnerOptions own;
    const Cell &cell;
    Record &record;
    const Steady::time_point startedAt = Steady::now();
    const std::int64_t bornMs;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<TaskRun> history;
    std::map<std::string, Run> current; ///< By task.
    std::map<std::string, int> closedAttempts; ///< Highest attempt that was stopped or has ended here, by task.
    std::vector<End> ends;
    std::uint64_t lastEnd = 0;
    std::uint64_t fence = 0;
    std::int64_t leaseEndMs = 0;
    bool keepsRenewal = false;
    std::string kept;
    std::atomic<bool> stopped{false};
    std::atomic<bool> announcing;
    std::atomic<bool> draining{false};
    std::atomic<bool> isCut{false};
    LoopbackServer server;
    std::thread timer;
    std::thread announcer;
};

} // namespace cranberryreel::review
