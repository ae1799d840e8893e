#include "policy/Preemptor.h"

#include "policy/ClassPolicy.h"

#include <algorithm>
#include <array>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::milliseconds RetryInterval{100};
constexpr std::chrono::seconds HoldTime{15};
constexpr std::size_t JobsAsking = 8; ///< Jobs at the head of each queue for which room is made at once.
constexpr std::size_t VictimsInSight = 32; ///< Newest preemptible tasks of a partner that are looked at.
constexpr std::array<model::JobKind, 3> AskingKinds{model::JobKind::Request, model::JobKind::Service, model::JobKind::Batch};
constexpr int AsksBackAfterPart = 4; ///< Work that is not urgent asks back what was lent after this part of the give-back time.

} // namespace

void Preemptor::makeRoom(base::SteadyTime now)
{
    this->zone.shares.reorder();
    for (const FairShares::Order &next : this->zone.shares.order()) {
        for (const model::JobKind kind : AskingKinds) {
            const WorkQueue &queue = this->zone.queues.of(next.partner, kind);
            std::size_t asking = 0;
            for (auto at = queue.jobs.begin(); at != queue.jobs.end() && asking < JobsAsking; ++at, ++asking) {
                this->tryFor(at->job, now);
            }
        }
    }
}

bool Preemptor::mayAsk(const JobEntry &job, base::SteadyTime now) const
{
    if (job.blockedVersion == 0 || job.heldVm != NoIndex || now < job.nextPreemptAt) {
        return false;
    }
    return ClassPolicy::of(job.kind).isUrgent() || now - job.enqueuedAt >= this->zone.giveBackWithin / AsksBackAfterPart;
}

bool Preemptor::mayTakeFrom(const JobEntry &job, bool withinDue, PartnerIndex victim) const
{
    if (victim == job.partner) {
        return ClassPolicy::of(job.kind).isUrgent();
    }
    return withinDue && this->zone.shares.isOverDue(victim);
}

void Preemptor::tryFor(JobIndex index, base::SteadyTime now)
{
    JobEntry &job = this->zone.jobs.at(index);
    if (!this->mayAsk(job, now)) {
        return;
    }
    job.nextPreemptAt = now + RetryInterval;
    const bool withinDue = this->zone.shares.isWithinDue(job.partner, taskDemand(job.need));
    Plan best;
    for (PartnerIndex partner = 0; partner < this->zone.preemptible.size(); ++partner) {
        const auto &tasks = this->zone.preemptible[partner];
        if (tasks.empty() || !this->mayTakeFrom(job, withinDue, partner)) {
            continue;
        }
        for (std::size_t i = 0; i < std::min(tasks.size(), VictimsInSight); ++i) {
            const TaskRef ref = tasks[tasks.size() - 1 - i];
            const VmIndex vm = this->zone.jobs.at(ref.job).tasks[ref.task].vm;
            Plan plan = this->planOn(vm, job, withinDue, now);
            if (plan.vm != NoIndex && (best.vm == NoIndex || plan.cost < best.cost)) {
                best = std::move(plan);
            }
        }
    }
    if (best.vm == NoIndex) {
        return;
    }
    for (const TaskRef &victim : best.victims) {
        this->zone.preempt(victim, base::ResultCode::Preempted, "Gives way to " + job.id + " of " + this->zone.shares.at(job.partner).name + ".");
    }
    this->zone.ledger.hold(best.vm, index);
    job.heldVm = best.vm;
    job.heldUntil = now + HoldTime;
    this->holders.push_back(index);
}

Preemptor::Plan Preemptor::planOn(VmIndex vmIndex, const JobEntry &job, bool withinDue, base::SteadyTime now) const
{
    const Ledger &ledger = this->zone.ledger;
    const LedgerVm &vm = ledger.vm(vmIndex);
    if (!vm.known || vm.draining || vm.heldBy != NoIndex) {
        return {};
    }
    std::vector<TaskRef> candidates;
    model::Resources room = vm.free();
    std::int64_t slots = 0;
    const auto serves = [&](const LedgerUpstream &upstream) {
        return upstream.accepting && upstream.openSlots() > 0 && (job.service == Ledger::AnyService || upstream.service == job.service);
    };
    for (const UpstreamIndex upstream : vm.upstreams) {
        slots += serves(ledger.upstream(upstream)) ? std::int64_t{ledger.upstream(upstream).openSlots()} - ledger.upstream(upstream).usedSlots : 0;
    }
    for (const TaskRef &ref : vm.tasks) {
        const JobEntry &other = this->zone.jobs.at(ref.job);
        const TaskEntry &task = other.tasks[ref.task];
        if (!ClassPolicy::of(other.kind).isPreemptible() || task.phase != TaskPhase::Running) {
            continue;
        }
        if (task.preempting) {
            room += task.reserved;
            slots += serves(ledger.upstream(task.upstream)) ? 1 : 0;
        } else if (this->mayTakeFrom(job, withinDue, other.partner)) {
            candidates.push_back(ref);
        }
    }
    const auto startedAt = [this](const TaskRef &ref) { return this->zone.jobs.at(ref.job).tasks[ref.task].startedAt; };
    std::sort(candidates.begin(), candidates.end(), [&](const TaskRef &left, const TaskRef &right) { return startedAt(left) > startedAt(right); });
    Plan plan;
    absl::flat_hash_map<PartnerIndex, Demand> taken;
    for (const TaskRef &ref : candidates) {
        if (job.need.fitsIn(room) && slots > 0) {
            break;
        }
        const JobEntry &other = this->zone.jobs.at(ref.job);
        const TaskEntry &task = other.tasks[ref.task];
        Demand &sum = taken[other.partner];
        sum += taskDemand(task.reserved);
        if (other.partner != job.partner && !this->zone.shares.keepsDue(other.partner, sum)) {
            sum -= taskDemand(task.reserved);
            continue;
        }
        room += task.reserved;
        slots += serves(ledger.upstream(task.upstream)) ? 1 : 0;
        plan.cost += std::chrono::duration<double>(now - task.startedAt).count();
        plan.victims.push_back(ref);
    }
    plan.vm = job.need.fitsIn(room) && slots > 0 ? vmIndex : NoIndex;
    return plan;
}

void Preemptor::expireHolds(base::SteadyTime now)
{
    const auto isOver = [&](JobIndex index) {
        if (!this->zone.jobs.contains(index) || this->zone.jobs.at(index).heldVm == NoIndex) {
            return true;
        }
        JobEntry &job = this->zone.jobs.at(index);
        if (now < job.heldUntil && job.waiting > 0) {
            return false;
        }
        this->zone.dropHold(job);
        return true;
    };
    this->holders.erase(std::remove_if(this->holders.begin(), this->holders.end(), isOver), this->holders.end());
}

} // namespace cranberryreel::policy
