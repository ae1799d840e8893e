#include "policy/Drainer.h"

#include "policy/ClassPolicy.h"

#include <algorithm>
#include <vector>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::milliseconds Interval{250};
constexpr std::chrono::seconds WorthMoving{30}; ///< Batch tasks that end sooner are left to end.

} // namespace

void Drainer::setDraining(VmIndex vm, bool isDraining)
{
    if (isDraining) {
        this->draining.insert(vm);
    } else {
        this->draining.erase(vm);
    }
}

bool Drainer::shouldMove(const TaskRef &ref, base::SteadyTime now) const
{
    const JobEntry &job = this->zone.jobs.at(ref.job);
    const TaskEntry &task = job.tasks[ref.task];
    if (task.preempting || task.phase != TaskPhase::Running || job.cancelled) {
        return false;
    }
    if (job.kind == model::JobKind::Batch) {
        return task.expectedEnd == base::SteadyTime::max() || task.expectedEnd - now > WorthMoving;
    }
    if (job.kind != model::JobKind::Service) {
        return false;
    }
    const bool allUp = job.waiting == 0
        && std::none_of(job.tasks.begin(), job.tasks.end(), [](const TaskEntry &other) { return other.preempting || other.phase == TaskPhase::Starting; });
    bool hasRoom = false;
    this->zone.ledger.open(job.service).visit(job.need, {1, 1, false}, [&](VmIndex vm) {
        hasRoom = hasRoom || this->zone.ledger.fits(vm, job.service, job.need);
        return hasRoom;
    });
    return allUp && hasRoom;
}

void Drainer::move(base::SteadyTime now)
{
    if (this->draining.empty() || now < this->nextAt) {
        return;
    }
    this->nextAt = now + Interval;
    for (const VmIndex vm : this->draining) {
        for (const TaskRef &ref : this->zone.ledger.vm(vm).tasks) {
            if (this->shouldMove(ref, now)) {
                this->zone.preempt(ref, base::ResultCode::Preempted, "Moves off " + this->zone.ledger.vm(vm).name + ", which is draining.");
            }
        }
    }
}

} // namespace cranberryreel::policy
