#pragma once

#include "Record.h"
#include "http/Client.h"
#include "http/Server.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

/// Identity and size of a runner.
struct RunnerOptions {
    std::string id;
    std::string address; ///< IPv4 address to listen on; the port is chosen.
    std::string zone;
    std::string service = "bokun";
    std::vector<std::string> control; ///< Addresses that serve control.
    std::uint32_t cpu = 8000;
    std::uint32_t memory = 16000;
    std::vector<std::string> labels = {"a", "r1"};
};

/// What a runner saw of one run, for the check at the end.
struct SeenRun {
    std::string task;
    std::uint32_t attempt = 0;
    std::string runner;
    std::chrono::milliseconds begun{0}; ///< Time of the record.
    std::chrono::milliseconds ended{-1}; ///< -1: runs on.
    std::string how;
};

/// A sound runner: keeps fencing tokens, leases, ends and stops as PROTOCOL.md says, and sends heartbeats. The text of a task's `Spec` says how long it runs:
/// milliseconds, "fail" and milliseconds for a task that ends failed, or "forever". Any thread. Owned by the case.
class Runner
{
public:
    Runner(Record &caseRecord, cranberryreel::http::Client &httpClient, RunnerOptions runnerOptions);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    /// Ends the runner at once: what runs there ends, its port refuses connections, and it sends nothing any more.
    void crash();

    /// Ends a task that runs here as failed. Returns whether it ran here.
    bool fail(const std::string &task);

    /// Sends heartbeats with State draining from now on.
    void drain();

    /// A heartbeat as the runner would send it next, with the given sequence number.
    nlohmann::json heartbeat(std::uint64_t sequence, bool draining);
    std::uint64_t sequence();
    std::string address() const;

    /// When a heartbeat with State draining was acknowledged first; nothing before that.
    std::optional<std::chrono::milliseconds> drainAcknowledged();

    /// The number of runs that are under way.
    std::size_t running();
    std::vector<SeenRun> seenRuns();

    const std::string &id() const
    {
        return this->options.id;
    }

private:
    struct Run {
        std::uint32_t attempt = 0;
        std::chrono::steady_clock::time_point until;
        bool fails = false;
        std::size_t seen = 0;
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t attempt = 0;
        std::string how;
    };
    struct Waiting {
        cranberryreel::http::Responder respond;
        std::chrono::steady_clock::time_point until;
        std::size_t ends = 0;
    };

    void handle(const std::shared_ptr<const cranberryreel::http::Request> &request, const cranberryreel::http::Responder &respond);
    nlohmann::json handleStart(const nlohmann::json &body, unsigned int &status) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void endRun(const std::string &task, const std::string &how) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void extendLease(const nlohmann::json &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    nlohmann::json lists() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    nlohmann::json heartbeatLocked(std::uint64_t sequence, bool draining) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::int64_t clock() const;
    void tick();
    void sendHeartbeat();
    void run();

    Record &record;
    cranberryreel::http::Client &client;
    RunnerOptions options;
    const std::int64_t born;
    const std::chrono::steady_clock::time_point start;
    std::unique_ptr<cranberryreel::http::Server> server;
    std::uint16_t port = 0;
    std::atomic<bool> stopping{false};
    std::atomic<bool> beating{true};
    std::thread thread;
    absl::Mutex mutex;
    bool isDraining ABSL_GUARDED_BY(mutex) = false;
    std::int64_t lease ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t token ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t sent ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t nextEnd ABSL_GUARDED_BY(mutex) = 1;
    std::size_t nextControl ABSL_GUARDED_BY(mutex) = 0;
    bool beatPending ABSL_GUARDED_BY(mutex) = false;
    std::chrono::steady_clock::time_point nextBeat ABSL_GUARDED_BY(mutex);
    std::map<std::string, Run> runs ABSL_GUARDED_BY(mutex);
    std::map<std::string, std::uint32_t> closedAttempts ABSL_GUARDED_BY(mutex); ///< Highest attempt that ended or was stopped, by task.
    std::vector<End> ends ABSL_GUARDED_BY(mutex);
    std::vector<Waiting> waiting ABSL_GUARDED_BY(mutex);
    std::vector<SeenRun> seen ABSL_GUARDED_BY(mutex);
    std::optional<std::chrono::milliseconds> acknowledgedDrain ABSL_GUARDED_BY(mutex);
};

} // namespace review
