#pragma once

#include "cell/TaskKey.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace cranberryreel::cell
{

/// How far the leading scheduler is with a run.
enum class RunPhase : std::uint8_t {
    Adopted, ///< Found in the log by a new leader; the upstream has not been read back yet.
    StartRequested, ///< A start request is to be sent, or has no answer yet.
    Confirmed, ///< The upstream confirmed that it runs.
    Stopping, ///< To be stopped; a stop request is repeated until the upstream confirms it.
};

/// The state that the leading scheduler keeps for one run that the log records, for one term at most. Owned by the RunTable.
struct TrackedRun {
    /// Called when the upstream has started again: what its earlier incarnation answered, or may still carry out, does not count for this one.
    void beginIncarnation()
    {
        this->upstreamRestarted = true;
        this->startUnanswered = false;
        this->latestDeadline = {};
        this->stopConfirmedAt = {};
        this->nextCall = {};
    }

    RunKey key;
    std::string task; ///< The task name that the upstream knows; see taskName().
    std::uint64_t upstream = 0; ///< The number of the upstream.
    RunPhase phase = RunPhase::StartRequested;
    int startRequests = 0; ///< Start requests sent.
    std::chrono::milliseconds latestDeadline{
        0}; ///< Latest deadline that a start request carried, on the upstream's clock; the upstream refuses requests that arrive later.
    bool startUnanswered = false; ///< Some start request had no answer and may still be carried out.
    bool upstreamRestarted = false; ///< All its start requests were sent to an earlier incarnation; the next lists show whether this one runs it.
    bool begun = false; ///< The upstream has begun the run, as this leader knows.
    bool endProposed = false; ///< The end of the run has been proposed and is not committed yet.
    bool callPending = false; ///< A start or stop request has no answer yet.
    base::SteadyTime nextCall{}; ///< No request is sent before.
    base::SteadyTime startedAt{}; ///< When the upstream confirmed the start; for adopted runs, when this leader took over.
    base::SteadyTime stopConfirmedAt{}; ///< When the upstream confirmed the stop; zero before that.
    std::string checkpoint; ///< Last one that the upstream reported; empty if none.
    int percent = -1; ///< Share of the work that is done, as last reported; -1 before the first report.
    base::SteadyTime lastProgressAt{}; ///< When the percentage last changed.
    base::SteadyTime lastListedAt{}; ///< When the upstream last listed the run.
    std::int64_t measurement = 0; ///< See RunReport::measurement.
};

} // namespace cranberryreel::cell
