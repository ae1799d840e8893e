#include "policy/Preemptor.h"

#include "policy/ClassPolicy.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::milliseconds RetryInterval{100};
constexpr std::chrono::seconds HoldTime{15};
constexpr std::size_t JobsAsking = 8; ///< Jobs at the head of each queue for which room is made at once.
constexpr std::size_t TriesPerCall = 4; ///< Jobs for which victims are looked for in one call.
constexpr std::size_t VictimsInSight = 16; ///< Preemptible tasks that are looked at for one job.
constexpr std::size_t VictimsPerPartner = 8; ///< Newest ones of each partner.
constexpr std::array<model::JobKind, 3> AskingKinds{model::JobKind::Request, model::JobKind::Service, model::JobKind::Batch};
constexpr int AsksBackAfterPart = 4; ///< Work that is not urgent asks back what was lent after this part of the give-back time.

} // namespace

void Preemptor::makeRoom(base::SteadyTime now)
{
    std::size_t tries = 0;
    this->zone.shares.reorder();
    for (const FairShares::Order &next : this->zone.shares.order()) {
        for (const model::JobKind kind : AskingKinds) {
            const WorkQueue &queue = this->zone.queues.of(next.partner, kind);
            for (std::size_t i = 0; !queue.sightIsStale && i < std::min(queue.sight.size(), JobsAsking); ++i) {
                const JobInSight seen = queue.sight[i];
                tries += seen.blockedVersion != 0 && this->tryFor(seen.job, now) ? 1 : 0;
                if (tries >= TriesPerCall) {
                    return;
                }
            }
        }
    }
}

bool Preemptor::mayAsk(const JobEntry &job, base::SteadyTime now) const
{
    if (job.heldVm != NoIndex || now < job.nextPreemptAt) {
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

bool Preemptor::tryFor(JobIndex index, base::SteadyTime now)
{
    JobEntry &job = this->zone.jobs.at(index);
    if (!this->mayAsk(job, now)) {
        return false;
    }
    job.nextPreemptAt = now + RetryInterval;
    const bool withinDue = this->zone.shares.isWithinDue(job.partner, taskDemand(job.need));
    this->takeable.assign(this->zone.shares.size(), false);
    for (PartnerIndex partner = 0; partner < this->zone.preemptible.size(); ++partner) {
        this->takeable[partner] = !this->zone.preemptible[partner].empty() && this->mayTakeFrom(job, withinDue, partner);
    }
    Plan best;
    std::size_t looked = 0;
    for (PartnerIndex partner = 0; partner < this->zone.preemptible.size() && looked < VictimsInSight; ++partner) {
        const auto &tasks = this->zone.preemptible[partner];
        if (!this->takeable[partner]) {
            continue;
        }
        for (std::size_t i = 0; i < std::min(tasks.size(), VictimsPerPartner); ++i, ++looked) {
            const TaskRef ref = tasks[tasks.size() - 1 - i];
            const VmIndex vm = this->zone.jobs.at(ref.job).tasks[ref.task].vm;
            Plan plan = this->planOn(vm, job, now);
            if (plan.vm != NoIndex && (best.vm == NoIndex || plan.cost < best.cost)) {
                best = std::move(plan);
            }
        }
    }
    if (best.vm != NoIndex) {
        this->preemptFor(index, best, now);
    }
    return looked > 0;
}

void Preemptor::preemptFor(JobIndex index, const Plan &plan, base::SteadyTime now)
{
    JobEntry &job = this->zone.jobs.at(index);
    for (const TaskRef &victim : plan.victims) {
        this->zone.preempt(victim, base::ResultCode::Preempted, "Gives way to " + job.id + " of " + this->zone.shares.at(job.partner).name + ".");
    }
    this->zone.ledger.hold(plan.vm, index);
    job.heldVm = plan.vm;
    job.heldUntil = now + HoldTime;
    this->holders.push_back(index);
}

Preemptor::Plan Preemptor::planOn(VmIndex vmIndex, const JobEntry &job, base::SteadyTime now) const
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
        } else if (this->takeable[other.partner]) {
            candidates.push_back(ref);
        }
    }
    const auto startedAt = [this](const TaskRef &ref) { return this->zone.jobs.at(ref.job).tasks[ref.task].startedAt; };
    std::sort(candidates.begin(), candidates.end(), [&](const TaskRef &left, const TaskRef &right) { return startedAt(left) > startedAt(right); });
    Plan plan;
    std::vector<std::pair<PartnerIndex, Demand>> taken;
    for (const TaskRef &ref : candidates) {
        if (job.need.fitsIn(room) && slots > 0) {
            break;
        }
        const JobEntry &other = this->zone.jobs.at(ref.job);
        const TaskEntry &task = other.tasks[ref.task];
        auto sum = std::find_if(taken.begin(), taken.end(), [&](const auto &entry) { return entry.first == other.partner; });
        sum = sum == taken.end() ? taken.insert(taken.end(), {other.partner, Demand{}}) : sum;
        sum->second += taskDemand(task.reserved);
        if (other.partner != job.partner && !this->zone.shares.keepsDue(other.partner, sum->second)) {
            sum->second -= taskDemand(task.reserved);
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
