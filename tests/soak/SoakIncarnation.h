#pragma once

#include "http/Response.h"
#include "soak/GangWork.h"
#include "soak/TaskRuns.h"
#include "soak/UpstreamCall.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cranberryreel::soak
{

/// What one incarnation of an upstream knows, as the platform's protocol describes it: its clock, runs, lease and ends. Owned by its upstream, whose lock
/// guards it.
class SoakIncarnation
{
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    /// The clock runs at `rate` times the true speed.
    SoakIncarnation(std::string upstreamId, int incarnationNumber, double rate, TaskRuns &taskRuns, GangWork &gangWork);

    int number() const;
    std::int64_t born() const;
    std::size_t runCount() const;
    bool hasEnds() const;
    std::uint64_t nextSequence();
    std::chrono::milliseconds clock() const;

    /// Carries out a call. The answer to a renewal is that of lists(), which the caller may delay.
    http::Response carryOut(const UpstreamCall &call);

    /// Ends the runs whose lease is over or whose work has ended.
    void endRuns();
    void endAllRuns(const std::string &how, SteadyTime endedAt);

    /// The answer to a renewal.
    http::Response lists();
    http::Response answer(unsigned int status, nlohmann::json body = nlohmann::json::object()) const;

    /// Whether the cell has read the lists of this incarnation and called it again since.
    bool isKnown() const;

private:
    using Handler = http::Response (SoakIncarnation::*)(const UpstreamCall &);

    struct End {
        nlohmann::json row;
        TaskRun run;
        std::string how;
        bool listed = false;
    };

    http::Response startRun(const UpstreamCall &call);
    http::Response stopRun(const UpstreamCall &call);
    http::Response renew(const UpstreamCall &call);
    http::Response pace(const UpstreamCall &call);
    bool isFenced(const nlohmann::json &body);
    void extendLease(const UpstreamCall &call);
    void acknowledgeEnds(const UpstreamCall &call);
    void endRun(const std::string &task, const std::string &how, SteadyTime endedAt);
    SteadyTime leaseEndTime() const;

    const int incarnation;
    const std::string place;
    const double clockRate;
    TaskRuns &runs;
    GangWork &work;
    const SteadyTime startedAt = std::chrono::steady_clock::now();
    const std::int64_t bornMs;
    std::uint64_t sequence = 0;
    std::uint64_t fencingToken = 0;
    std::uint64_t lastEnd = 0;
    std::chrono::milliseconds leaseEnd{0}; ///< On the incarnation's clock.
    std::map<std::string, TaskRun> running; ///< By task.
    std::map<std::string, std::uint32_t> highest; ///< Highest attempt that was seen, by task.
    std::map<std::uint64_t, End> ends; ///< By number.
    bool hasAnswered = false; ///< A renewal was answered.
    std::optional<SteadyTime> knownAt; ///< When the next renewal arrived after that.
};

} // namespace cranberryreel::soak
