#include "policy/Consolidator.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::milliseconds RunInterval{500};
constexpr std::chrono::seconds EmptyTimeout{15};
constexpr std::chrono::seconds MinRunTime{2}; ///< Minimum run time since its last start before a task is moved.
constexpr std::chrono::seconds MinRemainingTime{10}; ///< Tasks expected to end sooner are left to finish.
constexpr std::size_t MinMovesPerRound = 4;
constexpr std::size_t RunningTasksPerMove = 15; ///< One more move is allowed per this many running tasks.
constexpr double MaxUtilization = 0.9; ///< VMs above this utilization are not emptied.

} // namespace

void Consolidator::releaseEmptiedVms(base::SteadyTime now)
{
    const auto isDone = [&](const VmBeingEmptied &emptied) {
        if (!this->zone.ledger.vm(emptied.vm).tasks.empty() && now < emptied.until) {
            return false;
        }
        this->zone.ledger.releaseVm(emptied.vm);
        return true;
    };
    this->vmsBeingEmptied.erase(std::remove_if(this->vmsBeingEmptied.begin(), this->vmsBeingEmptied.end(), isDone), this->vmsBeingEmptied.end());
}

bool Consolidator::canBeEmptied(const LedgerVm &vm, base::SteadyTime now) const
{
    bool hasLongTask = false;
    for (const TaskRef &ref : vm.tasks) {
        const JobEntry &job = this->zone.jobs.at(ref.job);
        const TaskEntry &task = job.tasks[ref.task];
        if (job.kind != model::JobKind::Batch || task.phase != TaskPhase::Running || task.preempting || job.cancelled || now - task.startedAt < MinRunTime) {
            return false;
        }
        hasLongTask = hasLongTask || task.expectedEnd == base::SteadyTime::max() || task.expectedEnd < now || task.expectedEnd - now > MinRemainingTime;
    }
    return hasLongTask;
}

std::vector<VmIndex> Consolidator::findCandidates(base::SteadyTime now) const
{
    std::vector<std::pair<double, VmIndex>> found;
    for (VmIndex index = 0; index < this->zone.ledger.vmCount(); ++index) {
        const LedgerVm &vm = this->zone.ledger.vm(index);
        if (!vm.registered || vm.draining || vm.tasks.empty() || vm.reservedFor != NoIndex) {
            continue;
        }
        const double utilization = Demand{vm.reserved, 0}.dominantShareOf(Demand{vm.capacity, 0});
        if (utilization <= MaxUtilization && this->canBeEmptied(vm, now)) {
            found.emplace_back(utilization, index);
        }
    }
    std::sort(found.begin(), found.end());
    std::vector<VmIndex> vms;
    vms.reserve(found.size());
    for (const auto &[utilization, vm] : found) {
        vms.push_back(vm);
    }
    return vms;
}

bool Consolidator::planMoves(VmIndex from, absl::flat_hash_map<VmIndex, Demand> &plannedDemand) const
{
    const Ledger &ledger = this->zone.ledger;
    auto planned = plannedDemand;
    for (const TaskRef &ref : ledger.vm(from).tasks) {
        const JobEntry &job = this->zone.jobs.at(ref.job);
        const model::Resources &need = job.tasks[ref.task].reserved;
        VmIndex target = NoIndex;
        ledger.openVms(job.service).visit(need, {1, 1, false}, [&](VmIndex vm) {
            const auto existing = planned.find(vm);
            const model::Resources plannedResources = existing == planned.end() ? model::Resources{} : existing->second.resources;
            const bool fits = vm != from && !ledger.vm(vm).tasks.empty() && ledger.fits(vm, job.service, need + plannedResources);
            target = fits ? vm : target;
            return fits;
        });
        if (target == NoIndex) {
            return false;
        }
        planned[target] += taskDemand(need);
    }
    plannedDemand = std::move(planned);
    return true;
}

void Consolidator::consolidate(base::SteadyTime now)
{
    this->releaseEmptiedVms(now);
    if (this->zone.profile != Profile::Packing || now < this->nextRunAt) {
        return;
    }
    this->nextRunAt = now + RunInterval;
    std::size_t moves = MinMovesPerRound + static_cast<std::size_t>(this->zone.ledger.reserved().slots) / RunningTasksPerMove;
    for (PartnerIndex i = 0; i < this->zone.shares.size(); ++i) {
        if (this->zone.shares.at(i).waitingDemand.slots > 0) {
            return;
        }
    }
    absl::flat_hash_map<VmIndex, Demand> plannedDemand;
    for (const VmIndex index : this->findCandidates(now)) {
        const std::size_t tasks = this->zone.ledger.vm(index).tasks.size();
        if (tasks > moves || plannedDemand.contains(index) || !this->planMoves(index, plannedDemand)) {
            continue;
        }
        moves -= tasks;
        this->zone.ledger.reserveVm(index, ReservingJob);
        this->vmsBeingEmptied.push_back({index, now + EmptyTimeout});
        for (const TaskRef &ref : this->zone.ledger.vm(index).tasks) {
            this->zone.preempt(ref, base::ResultCode::Preempted, "Moved to a fuller VM, so that " + this->zone.ledger.vm(index).name + " can be emptied.");
        }
    }
}

} // namespace cranberryreel::policy
