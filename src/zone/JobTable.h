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

/// The jobs in the active scheduler's hands: all that are not final, and for a while the final ones that only live here. Owned by LeaderTerm; one thread.
class JobTable
{
public:
    ActiveJob *find(const model::JobId &id);
    ActiveJob &add(model::JobSpec spec, bool replicated, base::SteadyTime now);
    void remove(const model::JobId &id);

    /// The waiter is told when the job is final, or once its time has come.
    void wait(ActiveJob &job, Waiter waiter);

    /// Marks the job final and tells its waiters. Replicated jobs leave the table; others stay for the retention.
    void finish(ActiveJob &job, base::SteadyTime now);

    /// Tells waiters whose time has come, and forgets results beyond retention or bound.
    void sweep(base::SteadyTime now, std::chrono::milliseconds retention, std::size_t maxResults);

    void visit(const std::function<void(ActiveJob &)> &visitor);
    std::size_t size() const;

private:
    absl::flat_hash_map<model::JobId, std::unique_ptr<ActiveJob>> jobs;
    std::deque<std::pair<base::SteadyTime, model::JobId>> finished;
    std::multimap<base::SteadyTime, model::JobId> wakeUps; ///< May name jobs that are gone.
};

} // namespace cranberryreel::zone
