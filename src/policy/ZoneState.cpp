#include "policy/ZoneState.h"

#include "policy/KindPolicy.h"

namespace cranberryreel::policy
{

model::Resources ZoneState::reservationSize(const JobEntry &job) const
{
    if (const auto learned = this->workModel.learnedSize(job.name, job.declared)) {
        const model::Resources size = model::Resources::larger(job.declared, *learned);
        const std::uint64_t tasksAtOnce = job.kind == model::JobKind::Gang ? job.tasks.size() : 1;
        const model::Resources all = Demand{size, 0}.multipliedBy(static_cast<std::int64_t>(tasksAtOnce)).resources;
        if (this->ledger.countFittingEmpty(job.service, size, tasksAtOnce) == tasksAtOnce
            && this->shares.findExceededQuota(job.partner, all, true) == NoIndex) {
            return size;
        }
    }
    return job.declared;
}

void ZoneState::updateNeed(JobEntry &job)
{
    const model::Resources need = this->reservationSize(job);
    if (need == job.need) {
        return;
    }
    if (job.waiting > 0) {
        this->shares.removeWaiting(job.partner, job.kind, job.need, job.waiting);
        this->shares.addWaiting(job.partner, job.kind, need, job.waiting);
    }
    job.need = need;
    job.blockedVersion = 0;
    this->queues.invalidateLookahead(job);
}

void ZoneState::addWaiting(JobIndex index, std::uint32_t tasks)
{
    JobEntry &job = this->jobs.at(index);
    this->updateNeed(job);
    job.waiting += tasks;
    this->shares.addWaiting(job.partner, job.kind, job.need, tasks);
    this->queues.insert(index, job);
    if (job.kind == model::JobKind::Request) {
        this->requestsWaiting += tasks;
        this->requestsByLatestStart.insert({job.latestStart, index});
    }
}

void ZoneState::removeWaiting(JobIndex index, std::uint32_t tasks)
{
    JobEntry &job = this->jobs.at(index);
    job.waiting -= tasks;
    this->shares.removeWaiting(job.partner, job.kind, job.need, tasks);
    if (job.kind == model::JobKind::Request) {
        this->requestsWaiting -= tasks;
    }
    if (job.waiting == 0) {
        this->queues.remove(index, job);
        this->requestsByLatestStart.erase({job.latestStart, index});
    }
}

void ZoneState::recordPlacement(
    JobIndex index, std::uint32_t taskIndex, VmIndex vm, UpstreamIndex upstream, const model::Resources &size, std::uint32_t indexOnVm)
{
    JobEntry &job = this->jobs.at(index);
    TaskEntry &task = job.tasks[taskIndex];
    task = TaskEntry{};
    task.phase = TaskPhase::Starting;
    task.upstream = upstream;
    task.vm = vm;
    task.indexOnVm = indexOnVm;
    task.reserved = size;
    task.expectedEnd = base::SteadyTime::max();
    ++job.active;
    this->shares.addUsed(job.partner, taskDemand(size));
    if (KindPolicy::forKind(job.kind).isPreemptible()) {
        auto &list = this->preemptibleTasks(job.partner);
        task.indexInPreemptible = static_cast<std::uint32_t>(list.size());
        list.push_back({index, taskIndex});
    }
    if (job.kind == model::JobKind::Request) {
        this->requestsReserved += taskDemand(size);
    }
    if (job.kind == model::JobKind::Service) {
        ++job.tasksByRack[this->ledger.vm(vm).rack];
        ++job.tasksByVm[vm];
    }
}

void ZoneState::start(JobIndex index, std::uint32_t task, VmIndex vm, UpstreamIndex upstream)
{
    JobEntry &job = this->jobs.at(index);
    this->removeWaiting(index, 1);
    const std::uint32_t indexOnVm = this->ledger.reserve(vm, upstream, job.need, {index, task});
    this->recordPlacement(index, task, vm, upstream, job.need, indexOnVm);
    this->decisions.push_back({DecisionKind::Start, job.id, task, this->ledger.upstream(upstream).id, job.need, base::ResultCode::Ok, ""});
}

void ZoneState::adopt(JobIndex index, std::uint32_t task, UpstreamIndex upstream, const model::Resources &reserved, base::SteadyTime now)
{
    if (this->jobs.at(index).tasks[task].phase == TaskPhase::Waiting) {
        this->removeWaiting(index, 1);
    }
    const VmIndex vm = this->ledger.upstream(upstream).vm;
    const std::uint32_t indexOnVm = this->ledger.adopt(vm, upstream, reserved, {index, task});
    this->recordPlacement(index, task, vm, upstream, reserved, indexOnVm);
    TaskEntry &entry = this->jobs.at(index).tasks[task];
    entry.phase = TaskPhase::Running;
    entry.startedAt = now;
}

void ZoneState::release(JobIndex index, std::uint32_t taskIndex)
{
    JobEntry &job = this->jobs.at(index);
    TaskEntry &task = job.tasks[taskIndex];
    if (const TaskRef moved = this->ledger.release(task.vm, task.upstream, task.reserved, task.indexOnVm); moved.job != NoIndex) {
        this->jobs.at(moved.job).tasks[moved.task].indexOnVm = task.indexOnVm;
    }
    this->shares.removeUsed(job.partner, taskDemand(task.reserved));
    if (task.indexInPreemptible != NoIndex) {
        auto &list = this->preemptibleTasks(job.partner);
        const TaskRef last = list.back();
        list[task.indexInPreemptible] = last;
        list.pop_back();
        this->jobs.at(last.job).tasks[last.task].indexInPreemptible = task.indexInPreemptible;
        task.indexInPreemptible = NoIndex;
    }
    if (job.kind == model::JobKind::Request) {
        this->requestsReserved -= taskDemand(task.reserved);
    }
    if (job.kind == model::JobKind::Service) {
        --job.tasksByRack[this->ledger.vm(task.vm).rack];
        --job.tasksByVm[task.vm];
    }
    if (task.preempting) {
        this->shares.removeBeingPreempted(job.partner, taskDemand(task.reserved));
    }
    task.phase = TaskPhase::Ended;
    task.preempting = false;
    --job.active;
}

void ZoneState::preempt(TaskRef ref, base::ResultCode code, const std::string &reason)
{
    const JobEntry &job = this->jobs.at(ref.job);
    TaskEntry &task = this->jobs.at(ref.job).tasks[ref.task];
    task.preempting = true;
    this->shares.addBeingPreempted(job.partner, taskDemand(task.reserved));
    this->decisions.push_back({DecisionKind::Preempt, job.id, ref.task, this->ledger.upstream(task.upstream).id, task.reserved, code, reason});
}

void ZoneState::requeueTask(JobIndex index, std::uint32_t task)
{
    JobTable::requeueTask(this->jobs.at(index), task);
    this->addWaiting(index, 1);
}

void ZoneState::removeIfFinished(JobIndex index)
{
    JobEntry &job = this->jobs.at(index);
    if (job.waiting > 0 || job.active > 0) {
        return;
    }
    this->queues.remove(index, job);
    this->requestsByLatestStart.erase({job.latestStart, index});
    this->releaseReservedVm(job);
    this->jobs.remove(index);
}

void ZoneState::releaseReservedVm(JobEntry &job)
{
    if (job.reservedVm != NoIndex) {
        this->ledger.releaseVm(job.reservedVm);
        job.reservedVm = NoIndex;
    }
}

void ZoneState::applySlotLimits()
{
    for (const auto &[upstream, slots] : this->health.takeChangedLimits()) {
        this->ledger.setSlotLimit(upstream, slots);
    }
}

bool ZoneState::grow(JobIndex index, std::uint32_t taskIndex, const model::Resources &size)
{
    JobEntry &job = this->jobs.at(index);
    TaskEntry &task = job.tasks[taskIndex];
    if (task.preempting || !this->ledger.grow(task.vm, task.reserved, size)) {
        return false;
    }
    this->shares.resizeUsed(job.partner, task.reserved, size);
    if (job.kind == model::JobKind::Request) {
        this->requestsReserved.resources += size - task.reserved;
    }
    task.reserved = size;
    return true;
}

std::vector<TaskRef> &ZoneState::preemptibleTasks(PartnerIndex partner)
{
    if (partner >= this->preemptible.size()) {
        this->preemptible.resize(partner + 1);
    }
    return this->preemptible[partner];
}

RateMeter &ZoneState::requestStartRate(PartnerIndex partner)
{
    if (partner >= this->requestStarts.size()) {
        this->requestStarts.resize(partner + 1);
    }
    return this->requestStarts[partner];
}

} // namespace cranberryreel::policy
