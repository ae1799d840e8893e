#include "zone/JobTable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cranberryreel::zone
{

namespace
{

void notifyAll(const std::vector<Waiter> &waiters)
{
    for (const Waiter &waiter : waiters) {
        waiter.notify();
    }
}

std::vector<Waiter> takeDueWaiters(ActiveJob &job, base::SteadyTime now)
{
    const auto firstDue = std::partition(job.waiters.begin(), job.waiters.end(), [now](const Waiter &waiter) { return waiter.until > now; });
    std::vector<Waiter> due(std::make_move_iterator(firstDue), std::make_move_iterator(job.waiters.end()));
    job.waiters.erase(firstDue, job.waiters.end());
    return due;
}

} // namespace

ActiveJob *JobTable::find(const model::JobId &id)
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : found->second.get();
}

ActiveJob &JobTable::add(model::JobSpec spec, bool replicated, base::SteadyTime now)
{
    auto job = std::make_unique<ActiveJob>();
    job->replicated = replicated;
    job->acceptedAt = now;
    job->tasks.resize(spec.tasks);
    if (spec.deadline.count() > 0) {
        job->deadlineAt = now + spec.deadline;
    }
    job->spec = std::move(spec);
    ActiveJob &added = *job;
    this->jobs[added.spec.id] = std::move(job);
    return added;
}

void JobTable::remove(const model::JobId &id)
{
    this->jobs.erase(id);
}

void JobTable::addWaiter(ActiveJob &job, Waiter waiter)
{
    this->waiterTimeouts.emplace(waiter.until, job.spec.id);
    job.waiters.push_back(std::move(waiter));
}

void JobTable::markFinal(ActiveJob &job, base::SteadyTime now)
{
    if (job.finalAt) {
        return;
    }
    job.finalAt = now;
    job.span.end(job.code);
    notifyAll(std::exchange(job.waiters, {}));
    if (job.replicated) {
        this->remove(model::JobId(job.spec.id));
        return;
    }
    this->finalResults.emplace_back(now, job.spec.id);
}

void JobTable::expireWaitersAndResults(base::SteadyTime now, std::chrono::milliseconds retention, std::size_t maxResults)
{
    std::vector<Waiter> due;
    while (!this->waiterTimeouts.empty() && this->waiterTimeouts.begin()->first <= now) {
        if (ActiveJob *job = this->find(this->waiterTimeouts.begin()->second)) {
            std::vector<Waiter> dueOfJob = takeDueWaiters(*job, now);
            std::move(dueOfJob.begin(), dueOfJob.end(), std::back_inserter(due));
        }
        this->waiterTimeouts.erase(this->waiterTimeouts.begin());
    }
    notifyAll(due);
    while (!this->finalResults.empty() && (this->finalResults.size() > maxResults || this->finalResults.front().first + retention < now)) {
        this->jobs.erase(this->finalResults.front().second);
        this->finalResults.pop_front();
    }
}

void JobTable::visit(const std::function<void(ActiveJob &)> &visitor)
{
    for (auto &[id, job] : this->jobs) {
        visitor(*job);
    }
}

std::size_t JobTable::size() const
{
    return this->jobs.size();
}

} // namespace cranberryreel::zone
