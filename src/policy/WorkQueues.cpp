#include "policy/WorkQueues.h"

#include <algorithm>
#include <iterator>

namespace cranberryreel::policy
{

namespace
{

QueueKey keyOf(JobIndex index, const JobEntry &job)
{
    const bool byDeadline = job.kind == model::JobKind::Request;
    return {-job.priority, byDeadline ? job.deadline.time_since_epoch().count() : 0, job.sequence, index};
}

} // namespace

WorkQueue &WorkQueues::of(PartnerIndex partner, model::JobKind kind)
{
    if (partner >= this->queues.size()) {
        this->queues.resize(partner + 1);
    }
    return this->queues[partner][static_cast<std::size_t>(kind)];
}

void WorkQueues::insert(JobIndex index, JobEntry &job)
{
    if (job.queued) {
        return;
    }
    WorkQueue &queue = this->of(job.partner, job.kind);
    const auto [place, isNew] = queue.jobs.insert(keyOf(index, job));
    job.queued = true;
    const bool isFar = !queue.sightIsStale && queue.sight.size() == WorkQueue::MostInSight && std::next(place) == queue.jobs.end();
    if (!isFar) {
        queue.sightIsStale = true;
        queue.blockedVersion = 0;
    }
}

void WorkQueues::remove(JobIndex index, JobEntry &job)
{
    if (!job.queued) {
        return;
    }
    WorkQueue &queue = this->of(job.partner, job.kind);
    queue.jobs.erase(keyOf(index, job));
    job.queued = false;
    const bool wasInSight = std::any_of(queue.sight.begin(), queue.sight.end(), [index](const JobInSight &seen) { return seen.job == index; });
    if (wasInSight) {
        queue.sightIsStale = true;
        queue.blockedVersion = 0;
    }
}

void WorkQueues::resized(const JobEntry &job)
{
    WorkQueue &queue = this->of(job.partner, job.kind);
    queue.sightIsStale = true;
    queue.blockedVersion = 0;
}

std::vector<JobInSight> &WorkQueues::sight(WorkQueue &queue, const JobTable &table)
{
    if (!queue.sightIsStale) {
        return queue.sight;
    }
    queue.sightIsStale = false;
    queue.sight.clear();
    queue.leastNeed = {INT64_MAX, INT64_MAX, INT64_MAX};
    for (auto at = queue.jobs.begin(); at != queue.jobs.end() && queue.sight.size() < WorkQueue::MostInSight; ++at) {
        const JobEntry &job = table.at(at->job);
        queue.sight.push_back({at->job, job.service, job.need, job.blockedVersion});
        queue.leastNeed = model::Resources::smaller(queue.leastNeed, job.need);
    }
    return queue.sight;
}

} // namespace cranberryreel::policy
