#pragma once

#include "cell/teams/LoadSnapshot.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace cranberryreel::cell::teams
{

/// What makes a job end too late.
enum class LateReason : std::uint8_t {
    Capacity, ///< The work ahead of it in its service.
    Quota, ///< The work ahead of it in its team, for which the team's quota is too small.
    BeyondRate ///< It is beyond its team's rate, and work within the rates leaves too little capacity to serve it on time.
};

/// The name of the reason in logs and metrics.
const char *lateReasonName(LateReason reason);

/// The decision on one submission, with the figures that decide.
struct AdmissionDecision {
    bool admitted = true;
    LateReason reason = LateReason::Capacity; ///< If it is not admitted.
    std::chrono::milliseconds predictedEnd{0}; ///< Earliest plausible end, from the submission; 0 if no prediction was made.
    std::chrono::milliseconds limit{0}; ///< Latest end that is worth serving the job for.
    std::chrono::milliseconds workAhead{0}; ///< Time that the whole service, or the whole quota, needs for the work ahead, by the estimates.
    double rate = 1;
    std::chrono::milliseconds retryAfter{0}; ///< If it is not admitted.
};

/// Decides whether a submitted job is worth accepting. Load pattern: many teams use 0.95 of a service, with bursts of 2.3 times the usual rate for about 4 s,
/// and one team sends up to 7 times its usual load for 6 s. What is accepted beyond the capacity ends too late to be worth anything, and its submitter learns
/// of it only then. A job is rejected if even its earliest plausible end is too late: estimates are off by up to 0.9 either way, and rejecting a job that could
/// have been served is the worse error. Of later work that would overtake the job, only what keeps arriving outside bursts is considered, for the same reason.
/// Immutable; refers to the snapshot; made anew for each submission.
class AdmissionPolicy
{
public:
    explicit AdmissionPolicy(const LoadSnapshot &loadSnapshot);

    AdmissionDecision decide(const Submission &job) const;

private:
    /// Work that is served before the job.
    struct WorkAhead {
        Amounts service; ///< In the job's service.
        Amounts team; ///< Of its team, in all services.
        std::size_t jobs = 0;
        std::uint32_t tasks = 0;
        std::chrono::milliseconds taskTime{0}; ///< Of all tasks together.
    };

    /// The work of one other team in the job's service.
    struct TeamWork {
        Amounts before; ///< Of classes of the order before the job's class.
        Amounts same; ///< Of the job's class.
    };

    WorkAhead workAhead(const Submission &job, planning::Timeliness timeliness) const;
    void addFairShare(const Submission &job, const std::map<std::string, TeamWork> &teams, WorkAhead &ahead) const;
    AdmissionDecision predict(const Submission &job, planning::Timeliness timeliness, std::chrono::milliseconds limit) const;
    std::chrono::milliseconds retryDelay(const Submission &job, const AdmissionDecision &decision) const;

    const LoadSnapshot &snapshot;
};

} // namespace cranberryreel::cell::teams
