#pragma once

#include "cranberryreel/base/Clock.h"
#include "zone/ActiveJob.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cranberryreel::zone
{

/// The jobs of the active scheduler: all jobs that are not final, and for a retention time the final jobs that are not replicated. Owned by LeaderTerm; used
/// on the scheduler's thread only.
class JobTable
{
public:
    /// Returns null if the job is not in the table. The pointer is valid until the job is removed.
    ActiveJob *find(const model::JobId &id);
    ActiveJob &add(model::JobSpec spec, bool replicated, base::SteadyTime now);
    void remove(const model::JobId &id);

    /// Calls the waiter when the job is final or at its time limit, whichever is earlier.
    void addWaiter(ActiveJob &job, Waiter waiter);

    /// Marks the job final and calls its waiters. A replicated job is removed from the table; another job stays for the retention time.
    void markFinal(ActiveJob &job, base::SteadyTime now);

    /// Calls the waiters whose time limit has passed. Removes final jobs that are older than `retention`, and the oldest ones beyond `maxResults`.
    void expireWaitersAndResults(base::SteadyTime now, std::chrono::milliseconds retention, std::size_t maxResults);

    void visit(const std::function<void(ActiveJob &)> &visitor);
    std::size_t size() const;

private:
    absl::flat_hash_map<model::JobId, std::unique_ptr<ActiveJob>> jobs;
    std::deque<std::pair<base::SteadyTime, model::JobId>> finalResults;
    std::multimap<base::SteadyTime, model::JobId> waiterTimeouts; ///< Ids by time limit; may contain ids of removed jobs.
};

} // namespace cranberryreel::zone
