#pragma once

#include "cell/UpstreamCalls.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::support
{

/// Upstreams that follow the platform's rules for leases, epochs, attempts and end reports, with faults that a test can switch on. All calls are answered at
/// once, on the test's thread.
class ScriptedUpstreams : public cell::UpstreamCalls
{
public:
    struct RunningTask {
        std::uint32_t attempt = 0;
        std::string checkpoint;
    };

    struct Upstream {
        bool reachable = true;
        cell::UpstreamCallStatus unreachableStatus = cell::UpstreamCallStatus::Unknown; ///< The result of renewals while not reachable.
        bool dropsStarts = false; ///< Start requests are not answered; they stay in `delayedStarts`.
        bool holdsStarts = false; ///< Start requests are not carried out and wait until answerStarts().
        bool dropsAnswers = false; ///< Start requests are carried out, but their answers are lost.
        bool delaysAnswers = false; ///< Start requests are carried out, but their answers wait until deliverDelayedAnswers().
        bool dropsStops = false;
        bool refusesAsFull = false;
        bool holdsRenewals = false; ///< Renewals wait until breakRenewals().
        int renewalsToDrop = 0; ///< So many renewals from now on get no answer; they stay in `delayedRenewals`.
        std::string address; ///< Another upstream listens at other addresses; empty: this one answers at any address.
        std::vector<std::chrono::milliseconds> startLimits; ///< Time limits of all start requests.
        int startRequests = 0;
        std::vector<cell::RenewRequest> renewals; ///< All renewals that it received.
        std::int64_t bornMs = 1;
        std::uint64_t epoch = 0;
        std::uint64_t lastEndNumber = 0;
        std::chrono::milliseconds deadline{0};
        base::SteadyTime startedAt = base::steadyNow();
        std::map<std::string, RunningTask> running;
        std::map<std::string, std::uint32_t> highestEnded;
        std::deque<cell::EndReport> ended;
        std::vector<cell::StartRequest> delayedStarts; ///< Start requests that had no answer and may still be carried out.
        std::vector<cell::RenewRequest> delayedRenewals; ///< Renewals that had no answer and may still be carried out.
    };

    void start(const cell::UpstreamTarget &target,
               const cell::StartRequest &request,
               std::chrono::milliseconds limit,
               bool freshConnection,
               cell::UpstreamCallback done) override;
    void stop(const cell::UpstreamTarget &target,
              const cell::RunName &run,
              std::uint64_t epoch,
              std::chrono::milliseconds limit,
              cell::UpstreamCallback done) override;
    void renew(const cell::UpstreamTarget &target, const cell::RenewRequest &request, std::chrono::milliseconds limit, cell::RenewCallback done) override;
    void pace(const cell::UpstreamTarget &target,
              const cell::RunName &run,
              int percent,
              std::uint64_t epoch,
              std::chrono::milliseconds limit,
              cell::UpstreamCallback done) override;

    /// Ends the task on this upstream.
    void finish(const std::string &id, const std::string &task, cell::RunEndKind how, const std::string &checkpoint = {});

    /// Carries out the start requests that had no answer.
    void deliverDelayedStarts(const std::string &id);

    /// Carries out the renewals that had no answer.
    void deliverDelayedRenewals(const std::string &id);

    /// Delivers the answers that wait.
    void deliverDelayedAnswers();

    /// Answers the start requests that wait.
    void answerStarts(cell::UpstreamCallStatus status);

    /// Ends the renewals that wait, without an answer.
    void breakRenewals();

    /// Starts a new incarnation under the same id and address.
    void restart(const std::string &id);

    /// As restart(), but the requests that had no answer may still be carried out by the new incarnation.
    void restartBeforeDelayedRequests(const std::string &id);

    /// The running tasks; a task that runs several times is listed as often.
    std::vector<std::string> runningTasks() const;

    /// The id of the upstream that runs the task; empty if none does.
    std::string upstreamOf(const std::string &task) const;

    std::map<std::string, Upstream> upstreams;
    std::map<std::string, int> startCounts; ///< Number of runs started, by task.
    std::vector<cell::UpstreamCallback> heldStarts; ///< Start requests that wait.
    std::vector<std::function<void()>> delayedAnswers; ///< Deliver the answers that wait.
    std::vector<cell::RenewCallback> heldRenewals; ///< Renewals that wait.
    std::chrono::milliseconds heldDeadline{0}; ///< Deadline of the last of them.
    std::chrono::milliseconds leaseMax = std::chrono::hours(1); ///< Longer leases are shortened to this.
    std::set<std::string> ranTwice; ///< Tasks that ran twice at the same time, which must never happen.

private:
    static std::chrono::milliseconds clockOf(const Upstream &upstream);
    cell::UpstreamCallStatus executeStart(Upstream &upstream, const cell::StartRequest &request);
    cell::RenewResult executeRenewal(Upstream &upstream, const cell::RenewRequest &request);
    void extendLease(Upstream &upstream, std::chrono::milliseconds deadline) const;
    void expireLeases(Upstream &upstream);
};

} // namespace cranberryreel::support
