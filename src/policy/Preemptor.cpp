#include "policy/Preemptor.h"

#include "policy/KindPolicy.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::milliseconds RetryInterval{100};
constexpr std::chrono::seconds ReservationTime{15};
constexpr std::size_t MaxJobsPerQueue = 8; ///< Jobs at the head of each queue that tasks are preempted for at once.
constexpr std::size_t MaxTriesPerCall = 4; ///< Jobs for which victims are searched in one call.
constexpr std::size_t MaxVictimsConsidered = 16; ///< Preemptible tasks considered for one job.
constexpr std::size_t MaxVictimsPerPartner = 8; ///< Only the newest tasks of each partner are considered.
constexpr std::array<model::JobKind, 3> PreemptingKinds{model::JobKind::Request, model::JobKind::Service, model::JobKind::Batch};
constexpr int ReclaimDelayDivisor = 4; ///< Work that is not urgent waits for this part (1/n) of the give-back time before it reclaims lent capacity.

} // namespace

void Preemptor::preemptForBlockedJobs(base::SteadyTime now)
{
    std::size_t tries = 0;
    this->zone.shares.rankPartners();
    for (const FairShares::PartnerRank &next : this->zone.shares.rankedPartners()) {
        for (const model::JobKind kind : PreemptingKinds) {
            const WorkQueue &queue = this->zone.queues.queueFor(next.partner, kind);
            for (std::size_t i = 0; !queue.lookaheadIsStale && i < std::min(queue.lookahead.size(), MaxJobsPerQueue); ++i) {
                const LookaheadJob candidate = queue.lookahead[i];
                tries += candidate.blockedVersion != 0 && this->tryPreemptFor(candidate.job, now) ? 1 : 0;
                if (tries >= MaxTriesPerCall) {
                    return;
                }
            }
        }
    }
}

bool Preemptor::mayPreempt(const JobEntry &job, base::SteadyTime now) const
{
    if (job.reservedVm != NoIndex || now < job.nextPreemptAt) {
        return false;
    }
    return KindPolicy::forKind(job.kind).isUrgent() || now - job.enqueuedAt >= this->zone.giveBackWithin / ReclaimDelayDivisor;
}

bool Preemptor::mayPreemptFrom(const JobEntry &job, bool withinFairShare, PartnerIndex victim) const
{
    if (victim == job.partner) {
        return KindPolicy::forKind(job.kind).isUrgent();
    }
    return withinFairShare && this->zone.shares.isOverFairShare(victim);
}

bool Preemptor::tryPreemptFor(JobIndex index, base::SteadyTime now)
{
    JobEntry &job = this->zone.jobs.at(index);
    if (!this->mayPreempt(job, now)) {
        return false;
    }
    job.nextPreemptAt = now + RetryInterval;
    const bool withinFairShare = this->zone.shares.isWithinFairShare(job.partner, taskDemand(job.need));
    this->preemptiblePartners.assign(this->zone.shares.size(), false);
    for (PartnerIndex partner = 0; partner < this->zone.preemptible.size(); ++partner) {
        this->preemptiblePartners[partner] = !this->zone.preemptible[partner].empty() && this->mayPreemptFrom(job, withinFairShare, partner);
    }
    Plan best;
    std::size_t considered = 0;
    for (PartnerIndex partner = 0; partner < this->zone.preemptible.size() && considered < MaxVictimsConsidered; ++partner) {
        const auto &tasks = this->zone.preemptible[partner];
        if (!this->preemptiblePartners[partner]) {
            continue;
        }
        for (std::size_t i = 0; i < std::min(tasks.size(), MaxVictimsPerPartner); ++i, ++considered) {
            const TaskRef ref = tasks[tasks.size() - 1 - i];
            const VmIndex vm = this->zone.jobs.at(ref.job).tasks[ref.task].vm;
            Plan plan = this->planOnVm(vm, job, now);
            if (plan.vm != NoIndex && (best.vm == NoIndex || plan.cost < best.cost)) {
                best = std::move(plan);
            }
        }
    }
    if (best.vm != NoIndex) {
        this->preemptFor(index, best, now);
    }
    return considered > 0;
}

void Preemptor::preemptFor(JobIndex index, const Plan &plan, base::SteadyTime now)
{
    JobEntry &job = this->zone.jobs.at(index);
    for (const TaskRef &victim : plan.victims) {
        this->zone.preempt(victim, base::ResultCode::Preempted, "Preempted for " + job.id + " of " + this->zone.shares.at(job.partner).name + ".");
    }
    this->zone.ledger.reserveVm(plan.vm, index);
    job.reservedVm = plan.vm;
    job.reservedUntil = now + ReservationTime;
    this->jobsWithReservedVm.push_back(index);
}

Preemptor::Plan Preemptor::planOnVm(VmIndex vmIndex, const JobEntry &job, base::SteadyTime now) const
{
    const Ledger &ledger = this->zone.ledger;
    const LedgerVm &vm = ledger.vm(vmIndex);
    if (!vm.registered || vm.draining || vm.reservedFor != NoIndex) {
        return {};
    }
    std::vector<TaskRef> candidates;
    model::Resources freeCapacity = vm.free();
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
        if (!KindPolicy::forKind(other.kind).isPreemptible() || task.phase != TaskPhase::Running) {
            continue;
        }
        if (task.preempting) {
            freeCapacity += task.reserved;
            slots += serves(ledger.upstream(task.upstream)) ? 1 : 0;
        } else if (this->preemptiblePartners[other.partner]) {
            candidates.push_back(ref);
        }
    }
    const auto startedAt = [this](const TaskRef &ref) { return this->zone.jobs.at(ref.job).tasks[ref.task].startedAt; };
    std::sort(candidates.begin(), candidates.end(), [&](const TaskRef &left, const TaskRef &right) { return startedAt(left) > startedAt(right); });
    Plan plan;
    std::vector<std::pair<PartnerIndex, Demand>> demandByPartner;
    for (const TaskRef &ref : candidates) {
        if (job.need.fitsIn(freeCapacity) && slots > 0) {
            break;
        }
        const JobEntry &other = this->zone.jobs.at(ref.job);
        const TaskEntry &task = other.tasks[ref.task];
        auto sum = std::find_if(demandByPartner.begin(), demandByPartner.end(), [&](const auto &entry) { return entry.first == other.partner; });
        sum = sum == demandByPartner.end() ? demandByPartner.insert(demandByPartner.end(), {other.partner, Demand{}}) : sum;
        sum->second += taskDemand(task.reserved);
        if (other.partner != job.partner && !this->zone.shares.keepsFairShare(other.partner, sum->second)) {
            sum->second -= taskDemand(task.reserved);
            continue;
        }
        freeCapacity += task.reserved;
        slots += serves(ledger.upstream(task.upstream)) ? 1 : 0;
        plan.cost += std::chrono::duration<double>(now - task.startedAt).count();
        plan.victims.push_back(ref);
    }
    plan.vm = job.need.fitsIn(freeCapacity) && slots > 0 ? vmIndex : NoIndex;
    return plan;
}

void Preemptor::expireVmReservations(base::SteadyTime now)
{
    const auto hasExpired = [&](JobIndex index) {
        if (!this->zone.jobs.contains(index) || this->zone.jobs.at(index).reservedVm == NoIndex) {
            return true;
        }
        JobEntry &job = this->zone.jobs.at(index);
        if (now < job.reservedUntil && job.waiting > 0) {
            return false;
        }
        this->zone.releaseReservedVm(job);
        return true;
    };
    this->jobsWithReservedVm.erase(std::remove_if(this->jobsWithReservedVm.begin(), this->jobsWithReservedVm.end(), hasExpired),
                                   this->jobsWithReservedVm.end());
}

} // namespace cranberryreel::policy
