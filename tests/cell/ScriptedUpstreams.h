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

/// Upstreams that keep the platform's rules of leases, epochs, attempts and ends, with faults by switch. They answer when the test says so, on its thread.
class ScriptedUpstreams : public cell::UpstreamCalls
{
public:
    struct Held {
        std::uint32_t attempt = 0;
        std::string checkpoint;
    };

    struct Upstream {
        bool reachable = true;
        cell::OrderAnswer whenUnreachable = cell::OrderAnswer::Unknown; ///< How renewals end then.
        bool dropsStarts = false; ///< Starts get no answer; they stay in `late`.
        bool losesAnswers = false; ///< Starts are carried out, but the answer is lost.
        bool dropsStops = false;
        bool refusesForRoom = false;
        int startsAsked = 0;
        std::int64_t bornMs = 1;
        std::uint64_t epoch = 0;
        std::uint64_t endsNumbered = 0;
        std::chrono::milliseconds deadline{0};
        base::SteadyTime startedAt = base::steadyNow();
        std::map<std::string, Held> running;
        std::map<std::string, std::uint32_t> highestEnded;
        std::deque<cell::EndReport> ended;
        std::vector<cell::RunOrder> late; ///< Orders that had no answer and may yet be carried out.
    };

    void start(
        const cell::UpstreamTarget &target, const cell::RunOrder &order, std::chrono::milliseconds limit, bool freshConnection, cell::OrderDone done) override;
    void
    stop(const cell::UpstreamTarget &target, const cell::RunName &run, std::uint64_t epoch, std::chrono::milliseconds limit, cell::OrderDone done) override;
    void renew(const cell::UpstreamTarget &target, const cell::RenewOrder &order, std::chrono::milliseconds limit, cell::RenewDone done) override;
    void pace(const cell::UpstreamTarget &target,
              const cell::RunName &run,
              int percent,
              std::uint64_t epoch,
              std::chrono::milliseconds limit,
              cell::OrderDone done) override;

    /// The task ends there.
    void finish(const std::string &id, const std::string &task, cell::RunEnd how, const std::string &checkpoint = {});

    /// Carries out an order that had no answer.
    void arriveLate(const std::string &id);

    /// A new life at the same address under the same id.
    void restart(const std::string &id);

    /// Tasks that run on some upstream, each as often as it runs.
    std::vector<std::string> runningTasks() const;

    /// Where the task runs; empty when nowhere.
    std::string placeOf(const std::string &task) const;

    std::map<std::string, Upstream> upstreams;
    std::map<std::string, int> startsOf; ///< Runs begun, by task.
    std::set<std::string> doubled; ///< Tasks that ran twice at the same time.

private:
    static std::chrono::milliseconds clockOf(const Upstream &upstream);
    cell::OrderAnswer begin(Upstream &upstream, const cell::RunOrder &order);
    void expire(Upstream &upstream);
};

} // namespace cranberryreel::support
