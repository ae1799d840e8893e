#include "policy/Drainer.h"

#include "policy/KindPolicy.h"

#include <algorithm>
#include <vector>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::milliseconds RunInterval{250};
constexpr std::chrono::seconds MinRemainingTime{30}; ///< Batch tasks expected to end sooner are left to finish.

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
        return task.expectedEnd == base::SteadyTime::max() || task.expectedEnd - now > MinRemainingTime;
    }
    if (job.kind != model::JobKind::Service) {
        return false;
    }
    const bool allRunning = job.waiting == 0
        && std::none_of(job.tasks.begin(), job.tasks.end(), [](const TaskEntry &other) { return other.preempting || other.phase == TaskPhase::Starting; });
    bool fitsElsewhere = false;
    this->zone.ledger.openVms(job.service).visit(job.need, {1, 1, false}, [&](VmIndex vm) {
        fitsElsewhere = fitsElsewhere || this->zone.ledger.fits(vm, job.service, job.need);
        return fitsElsewhere;
    });
    return allRunning && fitsElsewhere;
}

void Drainer::moveTasks(base::SteadyTime now)
{
    if (this->draining.empty() || now < this->nextRunAt) {
        return;
    }
    this->nextRunAt = now + RunInterval;
    for (const VmIndex vm : this->draining) {
        for (const TaskRef &ref : this->zone.ledger.vm(vm).tasks) {
            if (this->shouldMove(ref, now)) {
                this->zone.preempt(ref, base::ResultCode::Preempted, "Moved off " + this->zone.ledger.vm(vm).name + ", which is draining.");
            }
        }
    }
}

} // namespace cranberryreel::policy
