#include "policy/WorkQueues.h"

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
    queue.jobs.insert(keyOf(index, job));
    queue.blockedVersion = 0;
    job.queued = true;
}

void WorkQueues::remove(JobIndex index, JobEntry &job)
{
    if (!job.queued) {
        return;
    }
    WorkQueue &queue = this->of(job.partner, job.kind);
    queue.jobs.erase(keyOf(index, job));
    queue.blockedVersion = 0;
    job.queued = false;
}

} // namespace cranberryreel::policy
