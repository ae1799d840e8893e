#include "policy/Starter.h"

#include "policy/ClassPolicy.h"

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

constexpr std::chrono::seconds StarvesAfter{10}; ///< A single task without room for so long gets a reservation like a gang.
constexpr double SizeWeight = 0.5; ///< Of a task's size by what it leaves free on its VM, when the best match is looked for.
constexpr double OpensAnotherVm = 10.0; ///< Outweighs every difference in size and match.
constexpr std::array<JobKind, 4> ServedKinds{JobKind::Request, JobKind::Service, JobKind::Gang, JobKind::Batch};
constexpr std::array<JobKind, 3> ProbeKinds{JobKind::Batch, JobKind::Request, JobKind::Service};

} // namespace

bool Starter::startNext(base::SteadyTime now)
{
    this->zone.shares.reorder();
    this->room = this->zone.ledger.room();
    this->spare = this->room;
    if (this->zone.profile != Profile::Packing) {
        this->spare -= this->headroom.wanted(this->zone.requestsReserved, this->zone.ledger.total());
    }
    return this->startProbe(now) || this->startTier(Tier::UrgentWithinDue, now) || this->startTier(Tier::All, now);
}

bool Starter::startProbe(base::SteadyTime now)
{
    for (const UpstreamIndex upstream : this->zone.health.probing()) {
        const LedgerUpstream &entry = this->zone.ledger.upstream(upstream);
        const VmIndex vm = entry.vm;
        const LedgerVm &place = this->zone.ledger.vm(vm);
        if (!entry.accepting || !place.known || place.draining || place.heldBy != NoIndex || entry.usedSlots >= entry.slots) {
            continue;
        }
        for (const JobKind kind : ProbeKinds) {
            for (const FairShares::Order &next : this->zone.shares.order()) {
                const WorkQueue &queue = this->zone.queues.of(next.partner, kind);
                if (queue.jobs.empty()) {
                    continue;
                }
                const JobIndex job = queue.jobs.begin()->job;
                const JobEntry &candidate = this->zone.jobs.at(job);
                const bool serves = candidate.service == Ledger::AnyService || candidate.service == entry.service;
                if (!candidate.repeatable || !serves || !candidate.need.fitsIn(place.free())
                    || this->zone.shares.hardLimit(candidate.partner, candidate.need) != NoIndex) {
                    continue;
                }
                this->zone.ledger.setSlotLimit(upstream, entry.usedSlots + 1);
                this->commit(job, vm, upstream, now);
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
    for (const FairShares::Order &next : this->zone.shares.order()) {
        for (const JobKind kind : ServedKinds) {
            if (tier == Tier::UrgentWithinDue && !ClassPolicy::of(kind).isUrgent()) {
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
    WorkQueue &queue = this->zone.queues.of(partner, kind);
    if (queue.jobs.empty()) {
        return false;
    }
    const Ledger &ledger = this->zone.ledger;
    if (queue.blockedVersion != 0 && !ledger.mayFitSince(queue.blockedVersion, Ledger::AnyService, queue.leastNeed)) {
        queue.blockedVersion = ledger.version();
        return false;
    }
    std::vector<JobInSight> &sight = WorkQueues::sight(queue, this->zone.jobs);
    if (kind == JobKind::Batch && this->zone.profile == Profile::Packing) {
        this->sortByFit(sight, now);
    }
    bool roomOnly = true;
    for (JobInSight &seen : sight) {
        if (tier == Tier::UrgentWithinDue && !this->zone.shares.isWithinDue(partner, taskDemand(seen.need))) {
            return false;
        }
        if (seen.blockedVersion != 0 && !ledger.mayFitSince(seen.blockedVersion, seen.service, seen.need)) {
            seen.blockedVersion = ledger.version();
            continue;
        }
        const Outcome outcome = this->fitsInZone(seen, kind) ? this->tryJob(seen.job, now) : this->notInZone(seen);
        if (outcome == Outcome::Started) {
            return true;
        }
        seen.blockedVersion = outcome == Outcome::NoRoom ? ledger.version() : 0;
        roomOnly = roomOnly && outcome == Outcome::NoRoom;
    }
    queue.blockedVersion = roomOnly ? ledger.version() : 0;
    return false;
}

bool Starter::fitsInZone(const JobInSight &seen, JobKind kind) const
{
    return taskDemand(seen.need).fitsIn(ClassPolicy::of(kind).isUrgent() ? this->room : this->spare);
}

Starter::Outcome Starter::notInZone(const JobInSight &seen)
{
    if (taskDemand(seen.need).fitsIn(this->room)) {
        return Outcome::HeldBack; // What is left is kept for requests.
    }
    this->zone.jobs.at(seen.job).blockedVersion = this->zone.ledger.version();
    return Outcome::NoRoom;
}

void Starter::sortByFit(std::vector<JobInSight> &sight, base::SteadyTime now) const
{
    if (sight.empty()) {
        return;
    }
    absl::flat_hash_map<JobIndex, double> values;
    for (const JobInSight &seen : sight) {
        values[seen.job] = this->fitValue(seen);
    }
    const auto oldest = std::min_element(sight.begin(), sight.end(), [this](const JobInSight &left, const JobInSight &right) {
        return this->zone.jobs.at(left.job).sequence < this->zone.jobs.at(right.job).sequence;
    });
    std::iter_swap(sight.begin(), oldest);
    const bool isOld = now - this->zone.jobs.at(sight.front().job).enqueuedAt >= StarvesAfter; // It goes first once it has waited for long.
    std::stable_sort(sight.begin() + (isOld ? 1 : 0), sight.end(), [&values](const JobInSight &left, const JobInSight &right) {
        return values.at(left.job) > values.at(right.job);
    });
}

double Starter::fitValue(const JobInSight &seen) const
{
    const Ledger &ledger = this->zone.ledger;
    const bool mayFit = seen.blockedVersion == 0 || ledger.mayFitSince(seen.blockedVersion, seen.service, seen.need);
    const VmIndex vm = mayFit ? this->findVm(this->zone.jobs.at(seen.job)) : NoIndex;
    if (vm == NoIndex) {
        return -std::numeric_limits<double>::infinity();
    }
    const LedgerVm &place = ledger.vm(vm);
    const Demand whole{place.capacity, 0};
    const auto left = Demand{place.free() - seen.need, 0}.fractionsOf(whole);
    const auto taken = Demand{seen.need, 0}.fractionsOf(whole);
    const double opens = place.tasks.empty() ? OpensAnotherVm : 0;
    return SizeWeight * (taken[0] + taken[1]) - (left[0] + left[1]) - std::abs(left[0] - left[1]) - opens;
}

Starter::Outcome Starter::tryJob(JobIndex index, base::SteadyTime now)
{
    const JobEntry &job = this->zone.jobs.at(index);
    const bool whole = job.kind == JobKind::Gang && job.active == 0;
    const std::int64_t tasks = whole ? job.waiting : 1;
    if (this->zone.shares.hardLimit(job.partner, taskDemand(job.need).times(tasks).resources) != NoIndex) {
        return Outcome::HeldBack;
    }
    return whole ? this->tryGang(index, now) : this->tryTask(index, now);
}

Starter::Outcome Starter::tryGang(JobIndex index, base::SteadyTime now)
{
    if (this->gangs.holder() == index) {
        return Outcome::HeldBack;
    }
    if (this->gangs.startWhole(index, now)) {
        return Outcome::Started;
    }
    this->gangs.reserve(index, now);
    return Outcome::HeldBack;
}

Starter::Outcome Starter::tryTask(JobIndex index, base::SteadyTime now)
{
    JobEntry &job = this->zone.jobs.at(index);
    if (this->gangs.holder() == index) {
        return Outcome::HeldBack;
    }
    VmIndex vm = this->findVm(job);
    if (vm == NoIndex) {
        vm = this->findBackfill(job, now);
    }
    if (vm != NoIndex) {
        this->commit(index, vm, this->zone.ledger.chooseUpstream(vm, job.service), now);
        return Outcome::Started;
    }
    job.blockedVersion = this->zone.ledger.version();
    return Outcome::NoRoom;
}

void Starter::reserveForStarving(base::SteadyTime now)
{
    if (this->gangs.holder() != NoIndex) {
        return;
    }
    for (const FairShares::Order &next : this->zone.shares.order()) {
        for (const JobKind kind : {JobKind::Service, JobKind::Batch}) {
            const WorkQueue &queue = this->zone.queues.of(next.partner, kind);
            if (queue.jobs.empty()) {
                continue;
            }
            const JobIndex index = queue.jobs.begin()->job;
            const JobEntry &job = this->zone.jobs.at(index);
            const bool starves = job.blockedVersion != 0 && now - std::max(job.enqueuedAt, job.lastStartAt) >= StarvesAfter;
            if (starves && this->zone.shares.hardLimit(job.partner, job.need) == NoIndex) {
                this->gangs.reserve(index, now);
            }
        }
    }
}

VmIndex Starter::findVm(const JobEntry &job) const
{
    const Ledger &ledger = this->zone.ledger;
    if (job.heldVm != NoIndex && ledger.fits(job.heldVm, job.service, job.need)) {
        return job.heldVm;
    }
    const ClassPolicy &policy = ClassPolicy::of(job.kind);
    VmIndex best = NoIndex;
    double bestScore = std::numeric_limits<double>::infinity();
    ledger.open(job.service).visit(job.need, policy.breadth(), [&](VmIndex vm) {
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

VmIndex Starter::findBackfill(const JobEntry &job, base::SteadyTime now) const
{
    const Ledger &ledger = this->zone.ledger;
    if (this->gangs.holder() == NoIndex || !ClassPolicy::of(job.kind).mayBackfill()) {
        return NoIndex;
    }
    const auto longRun = this->zone.model.longRunTime(job.name, job.runTime);
    if (!longRun || now + *longRun > this->gangs.neededAt()) {
        return NoIndex;
    }
    VmIndex found = NoIndex;
    ledger.held(job.service).visit(job.need, {1, 1, false}, [&](VmIndex vm) {
        const bool fits = ledger.vm(vm).heldBy == this->gangs.holder() && ledger.fits(vm, job.service, job.need);
        found = fits ? vm : found;
        return fits;
    });
    return found;
}

void Starter::commit(JobIndex index, VmIndex vm, UpstreamIndex upstream, base::SteadyTime now)
{
    JobEntry &job = this->zone.jobs.at(index);
    if (job.heldVm != NoIndex) {
        this->zone.dropHold(job);
    }
    const std::uint32_t task = JobTable::nextWaiting(job);
    this->zone.start(index, task, vm, upstream);
    this->gangs.roomTaken(vm);
    job.lastStartAt = now;
    TaskEntry &entry = job.tasks[task];
    entry.startedAt = now;
    if (const auto typical = this->zone.model.typicalRunTime(job.name, job.runTime)) {
        entry.expectedEnd = now + *typical;
    }
    if (job.kind == JobKind::Request) {
        this->zone.requestStartsOf(job.partner).add(now);
        this->zone.allRequestStarts.add(now);
    }
}

} // namespace cranberryreel::policy
