#include "policy/Starter.h"

#include "policy/KindPolicy.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace cranberryreel::policy
{

namespace
{

using model::JobKind;

constexpr std::chrono::seconds StarvationTime{10}; ///< A single task without capacity for this long gets a reservation as a gang does.
constexpr double SizeWeight = 0.5; ///< Weight of a task's size against what it leaves free on its VM.
constexpr double EmptyVmPenalty = 10.0; ///< Outweighs every difference in size and fit.
constexpr std::array<JobKind, 4> StartKinds{JobKind::Request, JobKind::Service, JobKind::Gang, JobKind::Batch};
constexpr std::array<JobKind, 3> ProbeKinds{JobKind::Batch, JobKind::Request, JobKind::Service};

} // namespace

bool Starter::startNext(base::SteadyTime now)
{
    this->zone.shares.rankPartners();
    this->freeCapacity = this->zone.ledger.freeCapacity();
    this->capacityBeyondHeadroom = this->freeCapacity;
    if (this->zone.profile != Profile::Packing) {
        this->capacityBeyondHeadroom -= this->headroom.requiredHeadroom(this->zone.requestsReserved, this->zone.ledger.total());
    }
    return this->startProbe(now) || this->startTier(Tier::UrgentWithinFairShare, now) || this->startTier(Tier::All, now);
}

bool Starter::startProbe(base::SteadyTime now)
{
    for (const UpstreamIndex upstream : this->zone.health.awaitingProbe()) {
        const LedgerUpstream &entry = this->zone.ledger.upstream(upstream);
        const VmIndex vm = entry.vm;
        const LedgerVm &place = this->zone.ledger.vm(vm);
        if (!entry.accepting || !place.registered || place.draining || place.reservedFor != NoIndex || entry.usedSlots >= entry.slots) {
            continue;
        }
        for (const JobKind kind : ProbeKinds) {
            for (const FairShares::PartnerRank &next : this->zone.shares.rankedPartners()) {
                const WorkQueue &queue = this->zone.queues.queueFor(next.partner, kind);
                if (queue.jobs.empty()) {
                    continue;
                }
                const JobIndex job = queue.jobs.begin()->job;
                const JobEntry &candidate = this->zone.jobs.at(job);
                const bool serves = candidate.service == Ledger::AnyService || candidate.service == entry.service;
                if (!candidate.repeatable || !serves || !candidate.need.fitsIn(place.free())
                    || this->zone.shares.findExceededQuota(candidate.partner, candidate.need) != NoIndex) {
                    continue;
                }
                this->zone.ledger.setSlotLimit(upstream, entry.usedSlots + 1);
                this->startTask(job, vm, upstream, now);
                this->zone.ledger.setSlotLimit(upstream, 0);
                this->zone.health.probeStarted(upstream);
                return true;
            }
        }
    }
    return false;
}

bool Starter::startTier(Tier tier, base::SteadyTime now)
{
    for (const FairShares::PartnerRank &next : this->zone.shares.rankedPartners()) {
        for (const JobKind kind : StartKinds) {
            if (tier == Tier::UrgentWithinFairShare && !KindPolicy::forKind(kind).isUrgent()) {
                continue;
            }
            if (this->startFromQueue(next.partner, kind, tier, now)) {
                return true;
            }
        }
    }
    return false;
}

bool Starter::startFromQueue(PartnerIndex partner, JobKind kind, Tier tier, base::SteadyTime now)
{
    WorkQueue &queue = this->zone.queues.queueFor(partner, kind);
    if (queue.jobs.empty()) {
        return false;
    }
    const Ledger &ledger = this->zone.ledger;
    if (queue.blockedVersion != 0 && !ledger.mayFitSince(queue.blockedVersion, Ledger::AnyService, queue.minNeed)) {
        queue.blockedVersion = ledger.version();
        return false;
    }
    std::vector<LookaheadJob> &lookahead = WorkQueues::refreshLookahead(queue, this->zone.jobs);
    if (kind == JobKind::Batch && this->zone.profile == Profile::Packing) {
        this->sortByFit(lookahead, now);
    }
    bool onlyCapacityMissing = true;
    for (LookaheadJob &candidate : lookahead) {
        if (tier == Tier::UrgentWithinFairShare && !this->zone.shares.isWithinFairShare(partner, taskDemand(candidate.need))) {
            return false;
        }
        if (candidate.blockedVersion != 0 && !ledger.mayFitSince(candidate.blockedVersion, candidate.service, candidate.need)) {
            candidate.blockedVersion = ledger.version();
            continue;
        }
        const Outcome outcome = this->fitsInZone(candidate, kind) ? this->tryJob(candidate.job, now) : this->outcomeWithoutCapacity(candidate);
        if (outcome == Outcome::Started) {
            return true;
        }
        candidate.blockedVersion = outcome == Outcome::NoCapacity ? ledger.version() : 0;
        onlyCapacityMissing = onlyCapacityMissing && outcome == Outcome::NoCapacity;
    }
    queue.blockedVersion = onlyCapacityMissing ? ledger.version() : 0;
    return false;
}

bool Starter::fitsInZone(const LookaheadJob &candidate, JobKind kind) const
{
    return taskDemand(candidate.need).fitsIn(KindPolicy::forKind(kind).isUrgent() ? this->freeCapacity : this->capacityBeyondHeadroom);
}

Starter::Outcome Starter::outcomeWithoutCapacity(const LookaheadJob &candidate)
{
    if (taskDemand(candidate.need).fitsIn(this->freeCapacity)) {
        return Outcome::Deferred; // The free capacity is kept for requests.
    }
    this->zone.jobs.at(candidate.job).blockedVersion = this->zone.ledger.version();
    return Outcome::NoCapacity;
}

void Starter::sortByFit(std::vector<LookaheadJob> &lookahead, base::SteadyTime now) const
{
    if (lookahead.empty()) {
        return;
    }
    absl::flat_hash_map<JobIndex, double> values;
    for (const LookaheadJob &candidate : lookahead) {
        values[candidate.job] = this->fitScore(candidate);
    }
    const auto oldest = std::min_element(lookahead.begin(), lookahead.end(), [this](const LookaheadJob &left, const LookaheadJob &right) {
        return this->zone.jobs.at(left.job).sequence < this->zone.jobs.at(right.job).sequence;
    });
    std::iter_swap(lookahead.begin(), oldest);
    const bool oldestStarves =
        now - this->zone.jobs.at(lookahead.front().job).enqueuedAt >= StarvationTime; // The oldest job goes first once it has waited for StarvationTime.
    std::stable_sort(lookahead.begin() + (oldestStarves ? 1 : 0), lookahead.end(), [&values](const LookaheadJob &left, const LookaheadJob &right) {
        return values.at(left.job) > values.at(right.job);
    });
}

double Starter::fitScore(const LookaheadJob &candidate) const
{
    const Ledger &ledger = this->zone.ledger;
    const bool mayFit = candidate.blockedVersion == 0 || ledger.mayFitSince(candidate.blockedVersion, candidate.service, candidate.need);
    const VmIndex vm = mayFit ? this->findVm(this->zone.jobs.at(candidate.job)) : NoIndex;
    if (vm == NoIndex) {
        return -std::numeric_limits<double>::infinity();
    }
    const LedgerVm &place = ledger.vm(vm);
    const Demand capacity{place.capacity, 0};
    const auto left = Demand{place.free() - candidate.need, 0}.fractionsOf(capacity);
    const auto taken = Demand{candidate.need, 0}.fractionsOf(capacity);
    const double emptyPenalty = place.tasks.empty() ? EmptyVmPenalty : 0;
    return SizeWeight * (taken[0] + taken[1]) - (left[0] + left[1]) - std::abs(left[0] - left[1]) - emptyPenalty;
}

Starter::Outcome Starter::tryJob(JobIndex index, base::SteadyTime now)
{
    const JobEntry &job = this->zone.jobs.at(index);
    const bool isWholeGang = job.kind == JobKind::Gang && job.active == 0;
    const std::int64_t tasks = isWholeGang ? job.waiting : 1;
    if (this->zone.shares.findExceededQuota(job.partner, taskDemand(job.need).multipliedBy(tasks).resources) != NoIndex) {
        return Outcome::Deferred;
    }
    return isWholeGang ? this->tryGang(index, now) : this->tryTask(index, now);
}

Starter::Outcome Starter::tryGang(JobIndex index, base::SteadyTime now)
{
    if (this->gangReserver.reservedJob() == index) {
        return Outcome::Deferred;
    }
    if (this->gangReserver.startGang(index, now)) {
        return Outcome::Started;
    }
    this->gangReserver.reserve(index, now);
    return Outcome::Deferred;
}

Starter::Outcome Starter::tryTask(JobIndex index, base::SteadyTime now)
{
    JobEntry &job = this->zone.jobs.at(index);
    if (this->gangReserver.reservedJob() == index) {
        return Outcome::Deferred;
    }
    VmIndex vm = this->findVm(job);
    if (vm == NoIndex) {
        vm = this->findBackfillVm(job, now);
    }
    if (vm != NoIndex) {
        this->startTask(index, vm, this->zone.ledger.chooseUpstream(vm, job.service), now);
        return Outcome::Started;
    }
    job.blockedVersion = this->zone.ledger.version();
    return Outcome::NoCapacity;
}

void Starter::reserveForStarving(base::SteadyTime now)
{
    if (this->gangReserver.reservedJob() != NoIndex) {
        return;
    }
    for (const FairShares::PartnerRank &next : this->zone.shares.rankedPartners()) {
        for (const JobKind kind : {JobKind::Service, JobKind::Batch}) {
            const WorkQueue &queue = this->zone.queues.queueFor(next.partner, kind);
            if (queue.jobs.empty()) {
                continue;
            }
            const JobIndex index = queue.jobs.begin()->job;
            const JobEntry &job = this->zone.jobs.at(index);
            const bool starves = job.blockedVersion != 0 && now - std::max(job.enqueuedAt, job.lastStartAt) >= StarvationTime;
            if (starves && this->zone.shares.findExceededQuota(job.partner, job.need) == NoIndex) {
                this->gangReserver.reserve(index, now);
            }
        }
    }
}

VmIndex Starter::findVm(const JobEntry &job) const
{
    const Ledger &ledger = this->zone.ledger;
    if (job.reservedVm != NoIndex && ledger.fits(job.reservedVm, job.service, job.need)) {
        return job.reservedVm;
    }
    const KindPolicy &policy = KindPolicy::forKind(job.kind);
    VmIndex best = NoIndex;
    double bestScore = std::numeric_limits<double>::infinity();
    ledger.openVms(job.service).visit(job.need, policy.searchLimits(), [&](VmIndex vm) {
        if (!ledger.fits(vm, job.service, job.need)) {
            return false;
        }
        if (const double score = policy.score(ledger, vm, job); score < bestScore) {
            bestScore = score;
            best = vm;
        }
        return true;
    });
    return best;
}

VmIndex Starter::findBackfillVm(const JobEntry &job, base::SteadyTime now) const
{
    const Ledger &ledger = this->zone.ledger;
    if (this->gangReserver.reservedJob() == NoIndex || !KindPolicy::forKind(job.kind).mayBackfill()) {
        return NoIndex;
    }
    const auto longRun = this->zone.workModel.longRunTime(job.name, job.runTime);
    if (!longRun || now + *longRun > this->gangReserver.expectedStart()) {
        return NoIndex;
    }
    VmIndex found = NoIndex;
    ledger.reservedVms(job.service).visit(job.need, {1, 1, false}, [&](VmIndex vm) {
        const bool fits = ledger.vm(vm).reservedFor == this->gangReserver.reservedJob() && ledger.fits(vm, job.service, job.need);
        found = fits ? vm : found;
        return fits;
    });
    return found;
}

void Starter::startTask(JobIndex index, VmIndex vm, UpstreamIndex upstream, base::SteadyTime now)
{
    JobEntry &job = this->zone.jobs.at(index);
    if (job.reservedVm != NoIndex) {
        this->zone.releaseReservedVm(job);
    }
    const std::uint32_t task = JobTable::nextWaitingTask(job);
    this->zone.start(index, task, vm, upstream);
    this->gangReserver.capacityTaken(vm);
    job.lastStartAt = now;
    TaskEntry &entry = job.tasks[task];
    entry.startedAt = now;
    if (const auto typical = this->zone.workModel.typicalRunTime(job.name, job.runTime)) {
        entry.expectedEnd = now + *typical;
    }
    if (job.kind == JobKind::Request) {
        this->zone.requestStartRate(job.partner).add(now);
        this->zone.allRequestStarts.add(now);
    }
}

} // namespace cranberryreel::policy
