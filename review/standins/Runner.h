#pragma once

#include "HttpServer.h"
#include "Record.h"
#include "TaskLog.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cranberryreel::review
{

/// What a runner says of itself.
struct RunnerSpec {
    std::string id;
    std::string address;
    std::string zone;
    std::string service;
    std::vector<std::string> labels{"a", "r1"};
    std::int64_t cpuMillis = 16000;
    std::int64_t memoryMib = 32768;
};

/// Plays one runner whose interface the users' page PROTOCOL describes. It runs a task for as long as its Spec says ("work=MS", or "lasts"), and takes the
/// task's size from there ("cpu=MILLIS"). A start with "advised" in its Spec needs a ticket. It doesn't guard its capacity. A crash ends a life of the runner;
/// the next one has the same id and knows nothing of it. Any thread. Owned by the case.
class Runner
{
public:
    Runner(RunnerSpec runnerSpec, TaskLog &caseTasks, Record &caseRecord);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    /// Control addresses in the order in which heartbeats try them.
    void setControls(std::vector<std::string> addresses);

    /// Begins a life and announces it.
    void start();

    /// Ends the life without a word; everything that runs is gone.
    void crash();

    /// The same, by a loss of power: open connections stay silent.
    void losePower();

    /// Changes what the next life says of its size.
    void setCapacity(std::int64_t cpuMillis);

    /// Sets how far the time of day of the runner's machine is ahead.
    void setTimeOfDayOffset(std::chrono::milliseconds ahead);

    /// Reports `draining` from now on, at once and with each heartbeat. Returns whether it was acknowledged.
    bool drain();

    /// Sends the deregistration to the control address. Returns its status, 0 without an answer within the limit.
    int deregister(const std::string &control, std::chrono::milliseconds limit);

    /// Starts, and how many of them brought the runner over its capacity.
    int starts() const;
    int startsOverCapacity() const;

    /// Names of the tasks that run now.
    std::vector<std::string> runningTasks() const;

    /// A run that a lapsed lease ended.
    struct Lapse {
        std::string task;
        std::chrono::steady_clock::time_point at;
    };

    /// The lapses of all lives.
    std::vector<Lapse> lapses() const;

private:
    struct Run {
        std::uint32_t attempt = 0;
        std::int64_t startedAt = 0; ///< On the runner's clock.
        std::int64_t workMs = 0; ///< Below 0 for a task that lasts.
        std::int64_t cpuMillis = 0;
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t attempt = 0;
        std::string how;
        std::int64_t endedAt = 0; ///< On the runner's clock.
    };
    /// All that a crash loses.
    struct Life {
        std::string name; ///< Unique to this life.
        std::chrono::steady_clock::time_point begin;
        std::int64_t born = 0;
        std::uint64_t highestFence = 0;
        std::int64_t deadline = 0;
        std::int64_t lastLapsedAt = -1; ///< Latest moment at which the lease was over; -1 for never.
        std::uint64_t lastEnd = 0;
        std::uint64_t sequence = 0;
        bool draining = false;
        std::map<std::string, Run> runs;
        std::map<std::string, std::uint32_t> closed; ///< By task: the highest attempt that was stopped or ended here.
        std::vector<End> ends;
    };

    void endLife(bool silently);
    std::int64_t clock() const; ///< The mutex is held.
    HttpReply handle(const HttpMessage &request);
    HttpReply handleStart(const nlohmann::json &body);
    HttpReply handleStop(const nlohmann::json &body);
    HttpReply handleHold(const nlohmann::json &body, std::unique_lock<std::mutex> &lock);
    bool isFenced(const nlohmann::json &body);
    void extendLease(const nlohmann::json &body);
    void acknowledge(std::uint64_t cursor);
    void endRun(const std::string &task, const std::string &how);
    HttpReply answer(int status, nlohmann::json body) const;
    HttpReply refusal(const char *reason) const;
    std::string announcement();
    bool announce();
    void tick();
    void beat();

    RunnerSpec spec;
    TaskLog &tasks;
    Record &record;
    HttpServer server;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> controls;
    std::unique_ptr<Life> life; ///< Null while the runner is down.
    std::chrono::milliseconds timeOfDayOffset{0};
    int lives = 0;
    int startCount = 0;
    int overCapacityCount = 0;
    std::vector<Lapse> lapsed;
    std::atomic<bool> alive{false};
    std::thread ticker;
    std::thread beater;
};

} // namespace cranberryreel::review
