#pragma once

#include "cell/AdviceAllowRates.h"
#include "cell/TaskKey.h"

#include "cranberryreel/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// The advice service's answers for one step, and the query that is pending for it. The set of allowed upstreams never changes; only tickets expire.
struct StepAdvice {
    struct Ticket {
        std::string text;
        base::SteadyTime placeUntil{}; ///< Latest time for a plan to use the ticket, ahead of `sendUntil` by the time for the commit and the start request.
        std::uint64_t incarnation = 0; ///< The upstream's incarnation for which the ticket was issued.
        base::SteadyTime sendUntil{}; ///< Latest time for a start request to carry the ticket.
    };

    bool queryPending = false; ///< An advice query for the step is unanswered.
    std::vector<std::uint64_t> pendingUpstreams; ///< Upstreams named by the pending query.
    std::uint32_t pendingTasks = 0; ///< Tasks expected to start with the tickets of the pending query.
    std::chrono::milliseconds unusedServiceTime{0}; ///< Time of the advice service spent on queries since a task of the step last started.
    base::SteadyTime nextQueryAt{}; ///< Earliest time for the next query; set after a query failed.
    std::set<std::uint64_t> queried; ///< Upstreams named by answered queries.
    std::map<std::uint64_t, Ticket> allowed; ///< Tickets of the allowed upstreams, by upstream number.
};

/// The advice on all steps that wait or run, kept while their job is open. Not thread-safe; used on the scheduler's thread only. Owned by the CellTerm.
class AdviceCache
{
public:
    AdviceAllowRates allowRates; ///< Learned from all answers of the term.

    /// Creates an empty entry for a step that has none.
    StepAdvice &adviceFor(const StepKey &step)
    {
        return this->steps[step];
    }

    /// Erases the advice on steps of jobs that are no longer open, except where a query is pending. `isOpen` takes a job number.
    template<typename IsOpen>
    void eraseClosedJobs(IsOpen isOpen)
    {
        for (auto at = this->steps.begin(); at != this->steps.end();) {
            at = isOpen(at->first.job) || at->second.queryPending ? std::next(at) : this->steps.erase(at);
        }
    }

private:
    std::map<StepKey, StepAdvice> steps;
};

} // namespace cranberryreel::cell
