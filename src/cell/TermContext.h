#pragma once

#include "cell/AdviceDispatcher.h"
#include "cell/BegunJobs.h"
#include "cell/CellOptions.h"
#include "cell/CellStore.h"
#include "cell/CommandBatch.h"
#include "cell/IncarnationNumbers.h"
#include "cell/RunTable.h"
#include "cell/SpeedMonitor.h"
#include "cell/UpstreamCalls.h"
#include "cell/UpstreamTracker.h"
#include "cell/health/SlowUpstreamDetector.h"
#include "cell/teams/ServiceRates.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace cranberryreel::cell
{

/// Numbers that a term has for the incarnations of one upstream. The platform carries epochs as numbers that are exact up to 2^53, and terms start from the
/// Unix time in milliseconds; an upstream that restarts more often in one term shares the last number among its further incarnations.
constexpr std::uint64_t IncarnationsPerTerm = 1024;

/// The objects that the parts of one term of leadership share. Used by the scheduler's thread only, except for `store`, `calls`, `adviceDispatcher` and `post`.
/// Owned by the CellTerm.
struct TermContext {
    const CellOptions &options;
    std::uint64_t term = 0;
    CellStore &store;
    UpstreamCalls &calls;
    AdviceDispatcher &adviceDispatcher;
    CommandBatch batch;
    RunTable runs;
    BegunJobs begunJobs;
    health::SlowUpstreamDetector slowUpstreamDetector;
    std::map<std::uint64_t, UpstreamTracker> trackers; ///< By upstream number.

    /// The epoch of requests to the known incarnation of the upstream. It is higher than those of all earlier terms, and than those for earlier incarnations in
    /// this term. Upstreams refuse requests with a lower epoch than one they have seen.
    std::uint64_t epochOf(const UpstreamTracker &tracker) const
    {
        return this->term * IncarnationsPerTerm + std::min(tracker.incarnation, IncarnationsPerTerm - 1);
    }

    /// The committed record of the upstream; nothing if it was removed.
    std::optional<wire::UpstreamT> upstreamRecord(std::uint64_t upstream) const
    {
        return this->store.read([upstream](const CellState &state) {
            const auto found = state.upstreams().find(upstream);
            return found == state.upstreams().end() ? std::nullopt : std::optional<wire::UpstreamT>(found->second);
        });
    }

    /// Records the duration of a run that was done; see teams::ServiceRates.
    void recordServiceRate(const TrackedRun &run, base::SteadyTime now)
    {
        this->store.read([&](const CellState &state) {
            const wire::JobT *job = state.job(run.key.task.step.job);
            const auto upstream = state.upstreams().find(run.upstream);
            if (job != nullptr && upstream != state.upstreams().end()) {
                const std::chrono::milliseconds estimate(job->spec->steps[run.key.task.step.step]->estimate_ms);
                this->serviceRates.recordCompletion(
                    upstream->second.service, estimate, std::chrono::duration_cast<std::chrono::milliseconds>(now - run.startedAt));
            }
        });
    }

    /// Runs a function on the scheduler's thread, unless this term has ended by then. Any thread.
    std::function<void(std::function<void()>)> post;

    /// Schedules a plan and the proposal of the pending batch. Called after changes that may let work start.
    std::function<void()> wake;

    /// Whether this term's leadership lease holds, so that no later leader can be sending requests yet.
    std::function<bool()> holdsLease;

    SpeedMonitor speedMonitor{this->options, this->store};
    teams::ServiceRates serviceRates{};
    IncarnationNumbers incarnationNumbers{};
};

} // namespace cranberryreel::cell
