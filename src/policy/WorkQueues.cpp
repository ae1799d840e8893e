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

WorkQueue &WorkQueues::queueFor(PartnerIndex partner, model::JobKind kind)
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
    WorkQueue &queue = this->queueFor(job.partner, job.kind);
    const auto [position, isNew] = queue.jobs.insert(keyOf(index, job));
    job.queued = true;
    const bool isBeyondLookahead = !queue.lookaheadIsStale && queue.lookahead.size() == WorkQueue::MaxLookaheadJobs && std::next(position) == queue.jobs.end();
    if (!isBeyondLookahead) {
        queue.lookaheadIsStale = true;
        queue.blockedVersion = 0;
    }
}

void WorkQueues::remove(JobIndex index, JobEntry &job)
{
    if (!job.queued) {
        return;
    }
    WorkQueue &queue = this->queueFor(job.partner, job.kind);
    queue.jobs.erase(keyOf(index, job));
    job.queued = false;
    const bool wasInLookahead =
        std::any_of(queue.lookahead.begin(), queue.lookahead.end(), [index](const LookaheadJob &candidate) { return candidate.job == index; });
    if (wasInLookahead) {
        queue.lookaheadIsStale = true;
        queue.blockedVersion = 0;
    }
}

void WorkQueues::invalidateLookahead(const JobEntry &job)
{
    WorkQueue &queue = this->queueFor(job.partner, job.kind);
    queue.lookaheadIsStale = true;
    queue.blockedVersion = 0;
}

std::vector<LookaheadJob> &WorkQueues::refreshLookahead(WorkQueue &queue, const JobTable &table)
{
    if (!queue.lookaheadIsStale) {
        return queue.lookahead;
    }
    queue.lookaheadIsStale = false;
    queue.lookahead.clear();
    queue.minNeed = {INT64_MAX, INT64_MAX, INT64_MAX};
    for (auto next = queue.jobs.begin(); next != queue.jobs.end() && queue.lookahead.size() < WorkQueue::MaxLookaheadJobs; ++next) {
        const JobEntry &job = table.at(next->job);
        queue.lookahead.push_back({next->job, job.service, job.need, job.blockedVersion});
        queue.minNeed = model::Resources::smaller(queue.minNeed, job.need);
    }
    return queue.lookahead;
}

} // namespace cranberryreel::policy
