#pragma once

#include "http/Server.h"
#include "soak/LastingRuns.h"
#include "support/LinkRelay.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cranberryreel::soak
{

/// An upstream as the platform's protocol describes it, whose runs last until they are stopped, their lease expires or it vanishes. Owned by SoakUpstreams; any
/// thread, vanish() only by its owner's.
class SoakUpstream
{
public:
    /// Sends an announcement; returns whether it was acknowledged.
    using Announce = std::function<bool(const std::string &id, const std::string &body)>;

    /// The upstream's clock runs at `rate` times the true speed.
    SoakUpstream(std::string upstreamId, double rate, LastingRuns &lastingRuns, Announce announceFunction);
    ~SoakUpstream();
    SoakUpstream(const SoakUpstream &) = delete;
    SoakUpstream &operator=(const SoakUpstream &) = delete;

    const std::string &id() const;
    std::size_t runCount() const;

    /// Announces its end, and goes on.
    void drain();
    bool draining() const;

    /// Ends at once: its connections break, and further ones are refused.
    void vanish();

private:
    struct Hold {
        http::Responder respond;
        std::chrono::steady_clock::time_point until;
    };

    void handle(const http::Request &request, const http::Responder &respond);
    http::Response startRun(const nlohmann::json &call) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    http::Response stopRun(const nlohmann::json &call) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void hold(const nlohmann::json &call, const http::Responder &respond) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool isFenced(const nlohmann::json &call) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void extendLease(const nlohmann::json &call) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void endRun(const std::string &task, const char *how) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void endAllRuns(const char *how) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    http::Response lists() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    http::Response answer(unsigned int status, nlohmann::json body = nlohmann::json::object()) const;
    std::chrono::milliseconds clock() const;
    void keepTime();
    void announceAll();
    std::string announcement();

    const std::string name;
    const double clockRate;
    LastingRuns &runs;
    const Announce announce;
    const std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
    const std::int64_t bornMs;
    std::atomic<bool> stopped{false};
    std::atomic<bool> isDraining{false};
    std::unique_ptr<http::Server> server;
    std::unique_ptr<support::LinkRelay> relay; ///< Its end breaks connections without an answer, as a crash does.
    std::string address;
    mutable absl::Mutex mutex;
    std::uint64_t sequence ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t fencingToken ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t lastEnd ABSL_GUARDED_BY(mutex) = 0;
    std::chrono::milliseconds leaseEnd ABSL_GUARDED_BY(mutex){0}; ///< On the upstream's clock.
    std::map<std::string, std::uint32_t> running ABSL_GUARDED_BY(mutex); ///< Attempt by task.
    std::map<std::string, std::uint32_t> highest ABSL_GUARDED_BY(mutex); ///< Highest attempt that was seen, by task.
    std::map<std::uint64_t, nlohmann::json> ends ABSL_GUARDED_BY(mutex); ///< By number.
    std::vector<Hold> holds ABSL_GUARDED_BY(mutex);
    std::thread timer;
    std::thread announcer;
};

} // namespace cranberryreel::soak
