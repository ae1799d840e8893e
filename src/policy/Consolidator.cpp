#include "policy/Consolidator.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::milliseconds Interval{500};
constexpr std::chrono::seconds CloseTimeout{15};
constexpr std::chrono::seconds LeastRun{2}; ///< A task is not moved sooner after its last start.
constexpr std::chrono::seconds WorthMoving{10}; ///< Tasks expected to end sooner are left to end.
constexpr std::size_t LeastMovesPerRound = 4;
constexpr std::size_t RunningPerMove = 15; ///< One more move a round for so many running tasks.
constexpr double LargestUse = 0.9; ///< Fuller VMs are not emptied.

} // namespace

void Consolidator::reopen(base::SteadyTime now)
{
    const auto isOver = [&](const Closing &closed) {
        if (!this->zone.ledger.vm(closed.vm).tasks.empty() && now < closed.until) {
            return false;
        }
        this->zone.ledger.releaseHold(closed.vm);
        return true;
    };
    this->closing.erase(std::remove_if(this->closing.begin(), this->closing.end(), isOver), this->closing.end());
}

bool Consolidator::isMovable(const LedgerVm &vm, base::SteadyTime now) const
{
    bool outlasts = false;
    for (const TaskRef &ref : vm.tasks) {
        const JobEntry &job = this->zone.jobs.at(ref.job);
        const TaskEntry &task = job.tasks[ref.task];
        if (job.kind != model::JobKind::Batch || task.phase != TaskPhase::Running || task.preempting || job.cancelled || now - task.startedAt < LeastRun) {
            return false;
        }
        outlasts = outlasts || task.expectedEnd == base::SteadyTime::max() || task.expectedEnd < now || task.expectedEnd - now > WorthMoving;
    }
    return outlasts;
}

std::vector<VmIndex> Consolidator::candidates(base::SteadyTime now) const
{
    std::vector<std::pair<double, VmIndex>> found;
    for (VmIndex index = 0; index < this->zone.ledger.vmCount(); ++index) {
        const LedgerVm &vm = this->zone.ledger.vm(index);
        if (!vm.known || vm.draining || vm.tasks.empty() || vm.heldBy != NoIndex) {
            continue;
        }
        const double use = Demand{vm.reserved, 0}.dominantShareOf(Demand{vm.capacity, 0});
        if (use <= LargestUse && this->isMovable(vm, now)) {
            found.emplace_back(use, index);
        }
    }
    std::sort(found.begin(), found.end());
    std::vector<VmIndex> vms;
    vms.reserve(found.size());
    for (const auto &[use, vm] : found) {
        vms.push_back(vm);
    }
    return vms;
}

bool Consolidator::findPlaces(VmIndex from, absl::flat_hash_map<VmIndex, Demand> &taken) const
{
    const Ledger &ledger = this->zone.ledger;
    auto planned = taken;
    for (const TaskRef &ref : ledger.vm(from).tasks) {
        const JobEntry &job = this->zone.jobs.at(ref.job);
        const model::Resources &need = job.tasks[ref.task].reserved;
        VmIndex place = NoIndex;
        ledger.open(job.service).visit(need, {1, 1, false}, [&](VmIndex vm) {
            const auto already = planned.find(vm);
            const model::Resources also = already == planned.end() ? model::Resources{} : already->second.resources;
            const bool fits = vm != from && !ledger.vm(vm).tasks.empty() && ledger.fits(vm, job.service, need + also);
            place = fits ? vm : place;
            return fits;
        });
        if (place == NoIndex) {
            return false;
        }
        planned[place] += taskDemand(need);
    }
    taken = std::move(planned);
    return true;
}

void Consolidator::advance(base::SteadyTime now)
{
    this->reopen(now);
    if (this->zone.profile != Profile::Packing || now < this->nextAt) {
        return;
    }
    this->nextAt = now + Interval;
    std::size_t moves = LeastMovesPerRound + static_cast<std::size_t>(this->zone.ledger.reserved().slots) / RunningPerMove;
    for (PartnerIndex i = 0; i < this->zone.shares.size(); ++i) {
        if (this->zone.shares.at(i).waitingDemand.slots > 0) {
            return;
        }
    }
    absl::flat_hash_map<VmIndex, Demand> taken;
    for (const VmIndex index : this->candidates(now)) {
        const std::size_t tasks = this->zone.ledger.vm(index).tasks.size();
        if (tasks > moves || taken.contains(index) || !this->findPlaces(index, taken)) {
            continue;
        }
        moves -= tasks;
        this->zone.ledger.hold(index, Holder);
        this->closing.push_back({index, now + CloseTimeout});
        for (const TaskRef &ref : this->zone.ledger.vm(index).tasks) {
            this->zone.preempt(ref, base::ResultCode::Preempted, "Moves to a fuller VM, so that " + this->zone.ledger.vm(index).name + " falls free.");
        }
    }
}

} // namespace cranberryreel::policy
