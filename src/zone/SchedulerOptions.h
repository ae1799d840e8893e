#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cranberryreel::zone
{

/// Times and bounds of one zone scheduler. Every default holds for the sizes that run today.
struct SchedulerOptions {
    std::string zone;
    std::string ownVm;
    std::chrono::milliseconds taskLease{5000}; ///< An upstream ends a task that was not renewed for so long.
    std::chrono::milliseconds renewEvery{1000};
    std::chrono::milliseconds wholeReportEvery{5000}; ///< Renewals between list ended tasks only; a task that vanished is noticed within it.
    std::chrono::milliseconds announceShare{60}; ///< Upstreams are told to announce themselves this often times their number, at least every renewEvery.
    std::chrono::milliseconds callLimit{800}; ///< One call to an upstream, beyond the time it may hold its answer.
    std::chrono::milliseconds silentAfter{2500}; ///< No new work goes to an upstream that answered nothing for so long.
    std::chrono::milliseconds deliveryMargin{1000}; ///< Clock drift over a lease, and the longest time that a sent start may still be under way.
    std::chrono::milliseconds startExpiry{2000};
    std::chrono::milliseconds holdAnswer{1500}; ///< How long an upstream may hold the answer to a start, to answer with the end.
    std::chrono::milliseconds resultRetention{60000}; ///< Requests that are not replicated.
    std::chrono::milliseconds jobRetention{3600000};
    std::chrono::milliseconds keyRetention{86400000}; ///< Jobs with an idempotency key, counted from their end.
    std::chrono::milliseconds retryDelay{200};
    std::uint32_t maxFailures = 3; ///< Attempts of one task that may have run, services apart.
    std::size_t maxJobs = 200000; ///< Replicated jobs kept, final ones included.
    std::size_t maxResults = 50000; ///< Requests kept that are not replicated.
    std::size_t maxBacklog = 50000; ///< Calls waiting for the scheduler's thread.
};

} // namespace cranberryreel::zone
