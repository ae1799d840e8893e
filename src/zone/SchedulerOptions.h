#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cranberryreel::zone
{

/// Time limits and size limits of one zone scheduler.
struct SchedulerOptions {
    std::string zone;
    std::string ownVm;
    std::chrono::milliseconds taskLease{5000}; ///< An upstream ends a task whose lease was not renewed for this long.
    /// A failed call stops new work at once, so this interval and callTimeout bound how long a silent upstream still gets work.
    std::chrono::milliseconds renewInterval{1800};
    std::chrono::milliseconds fullReportInterval{5000}; ///< Other renewals list ended tasks only, so a missing task is noticed within this time.
    std::chrono::milliseconds minAnnounceInterval{5000}; ///< Interval between announcements of an upstream without changes; changes are announced at once.
    /// Multiplied by the number of upstreams: lower bound of the interval between announcements of one upstream.
    std::chrono::milliseconds announceIntervalPerUpstream{60};
    std::chrono::milliseconds callTimeout{800}; ///< Limit of one call to an upstream, in addition to the time that the upstream may hold its answer.
    std::chrono::milliseconds silentAfter{2500}; ///< An upstream that has not answered for this long is silent and gets no new work.
    std::chrono::milliseconds deliveryMargin{1000}; ///< Bound for the clock drift during a lease, and for the delivery time of a sent start request.
    /// An upstream drops a start request that it reads later than this after the request was sent.
    std::chrono::milliseconds startExpiry{2000};
    std::chrono::milliseconds maxAnswerHold{1500}; ///< How long an upstream may hold the answer to a start request, to answer with the end.
    std::chrono::milliseconds resultRetention{60000}; ///< For requests that are not replicated.
    std::chrono::milliseconds jobRetention{3600000}; ///< For replicated jobs without an idempotency key, from their end.
    std::chrono::milliseconds keyRetention{86400000}; ///< For jobs with an idempotency key, from their end.
    /// Delay after a failed attempt, multiplied by the number of failures up to 10.
    std::chrono::milliseconds retryDelay{200};
    std::uint32_t maxFailures = 3; ///< Limit of attempts of one task that may have run; does not apply to services.
    std::size_t maxJobs = 200000; ///< Limit of replicated jobs, including final ones.
    std::size_t maxResults = 50000; ///< Limit of final requests that are not replicated.
    std::size_t maxQueuedCalls = 50000; ///< Limit of calls that wait for the scheduler's thread.
};

} // namespace cranberryreel::zone
