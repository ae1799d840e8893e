#include "policy/PlannerCore.h"

#include "policy/KindPolicy.h"

#include <algorithm>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::seconds SizeSampleInterval{60};
constexpr std::chrono::hours MaxDuration{24 * 365}; ///< Longer run times and deadlines count as this.
constexpr std::size_t MaxPendingDecisions = 4096; ///< Decided but not yet returned; planning pauses at this number.

} // namespace

void PlannerCore::setRules(const RulesView &rules)
{
    this->zone.profile = rules.profile;
    this->zone.giveBackWithin = rules.giveBackWithin;
    this->zone.shares.setRules(rules.partners);
    this->limitsChanged = true;
}

void PlannerCore::setVm(const VmView &vm)
{
    const VmIndex index = this->zone.ledger.setVm(vm);
    this->drainer.setDraining(index, vm.draining);
    this->limitsChanged = true;
}

void PlannerCore::removeVm(const std::string &vm)
{
    if (const VmIndex index = this->zone.ledger.removeVm(vm); index != NoIndex) {
        this->drainer.setDraining(index, true);
        this->limitsChanged = true;
    }
}

void PlannerCore::setUpstream(const UpstreamView &upstream, base::SteadyTime /*now*/)
{
    const UpstreamIndex index = this->zone.ledger.setUpstream(upstream);
    this->zone.health.setPresent(index, true);
}

void PlannerCore::removeUpstream(const std::string &id, base::SteadyTime /*now*/)
{
    if (const UpstreamIndex index = this->zone.ledger.findUpstream(id); index != NoIndex) {
        this->zone.ledger.removeUpstream(id);
        this->zone.health.setPresent(index, false);
        this->limitsChanged = true;
    }
}

JobEntry PlannerCore::makeEntry(const model::JobSpec &spec, base::SteadyTime now)
{
    JobEntry entry;
    entry.id = spec.id;
    entry.kind = spec.kind;
    entry.partner = this->zone.shares.findOrAddPartner(spec.partner);
    entry.name = this->zone.workModel.findOrAddName(entry.partner, spec.name);
    entry.service = this->zone.ledger.findOrAddService(spec.service);
    entry.declared = spec.perTask;
    entry.need = spec.perTask;
    entry.priority = spec.priority;
    entry.runTime = std::min<std::chrono::milliseconds>(spec.runTime, MaxDuration);
    entry.enqueuedAt = now;
    entry.sequence = this->zone.nextSequence++;
    entry.repeatable = spec.repeatable;
    if (spec.deadline.count() > 0) {
        entry.deadline = now + std::min<std::chrono::milliseconds>(spec.deadline, MaxDuration);
        const auto run = this->zone.workModel.typicalRunTime(entry.name, entry.runTime).value_or(std::chrono::milliseconds(0));
        entry.latestStart = entry.deadline - run;
    }
    entry.tasks.resize(Admission::taskCount(spec));
    return entry;
}

Decision PlannerCore::enqueue(const model::JobSpec &spec, base::SteadyTime now)
{
    const JobIndex existing = this->zone.jobs.find(spec.id);
    if (existing != NoIndex && !this->zone.jobs.at(existing).adoptedOnly) {
        return Admission::makeDecision(spec.id, base::ResultCode::Ok, "");
    }
    if (existing == NoIndex) {
        if (Decision refusal = this->admission.decide(spec, now); refusal.code != base::ResultCode::Ok) {
            return refusal;
        }
    }
    this->restore(spec, now);
    return Admission::makeDecision(spec.id, base::ResultCode::Ok, "");
}

void PlannerCore::restore(const model::JobSpec &spec, base::SteadyTime now)
{
    JobIndex index = this->zone.jobs.find(spec.id);
    if (index != NoIndex && !this->zone.jobs.at(index).adoptedOnly) {
        return;
    }
    if (index == NoIndex) {
        index = this->zone.jobs.add(this->makeEntry(spec, now));
        this->zone.addWaiting(index, Admission::taskCount(spec));
        return;
    }
    JobEntry &job = this->zone.jobs.at(index);
    job.adoptedOnly = false;
    std::uint32_t absentTasks = 0;
    for (TaskEntry &task : job.tasks) {
        absentTasks += task.phase == TaskPhase::Absent ? 1 : 0;
        task.phase = task.phase == TaskPhase::Absent ? TaskPhase::Waiting : task.phase;
    }
    if (absentTasks > 0) {
        this->zone.addWaiting(index, absentTasks);
    }
}

void PlannerCore::adoptTask(const model::JobSpec &spec, std::uint32_t task, const std::string &upstream, const model::Resources &reserved, base::SteadyTime now)
{
    const UpstreamIndex upstreamIndex = this->zone.ledger.findUpstream(upstream);
    if (upstreamIndex == NoIndex || task >= Admission::taskCount(spec)) {
        return;
    }
    JobIndex index = this->zone.jobs.find(spec.id);
    if (index == NoIndex) {
        JobEntry entry = this->makeEntry(spec, now);
        entry.adoptedOnly = true;
        for (TaskEntry &other : entry.tasks) {
            other.phase = TaskPhase::Absent;
        }
        index = this->zone.jobs.add(std::move(entry));
    }
    if (!this->zone.jobs.at(index).tasks[task].isActive()) {
        this->zone.adopt(index, task, upstreamIndex, reserved, now);
    }
}

void PlannerCore::cancel(const model::JobId &id, base::SteadyTime /*now*/)
{
    const JobIndex index = this->zone.jobs.find(id);
    if (index == NoIndex) {
        return;
    }
    JobEntry &job = this->zone.jobs.at(index);
    job.cancelled = true;
    this->gangReserver.cancelReservation(index);
    if (job.waiting > 0) {
        this->zone.removeWaiting(index, job.waiting);
    }
    for (TaskEntry &task : job.tasks) {
        task.phase = task.phase == TaskPhase::Waiting ? TaskPhase::Ended : task.phase;
    }
    this->zone.removeIfFinished(index);
}

void PlannerCore::taskStarted(const model::JobId &id, std::uint32_t taskIndex, base::SteadyTime now)
{
    const JobIndex index = this->zone.jobs.find(id);
    if (index == NoIndex || taskIndex >= this->zone.jobs.at(index).tasks.size()) {
        return;
    }
    JobEntry &job = this->zone.jobs.at(index);
    TaskEntry &task = job.tasks[taskIndex];
    if (task.phase != TaskPhase::Starting) {
        return;
    }
    task.phase = TaskPhase::Running;
    task.startedAt = now;
    if (const auto typical = this->zone.workModel.typicalRunTime(job.name, job.runTime)) {
        task.expectedEnd = now + *typical;
    }
}

void PlannerCore::taskEnded(const model::JobId &id, std::uint32_t taskIndex, TaskEnd end, bool requeue, base::SteadyTime now)
{
    const JobIndex index = this->zone.jobs.find(id);
    if (index == NoIndex || taskIndex >= this->zone.jobs.at(index).tasks.size()) {
        return;
    }
    JobEntry &job = this->zone.jobs.at(index);
    TaskEntry &task = job.tasks[taskIndex];
    if (task.phase == TaskPhase::Waiting) { // The task ended under an earlier leader.
        task.phase = TaskPhase::Ended;
        this->zone.removeWaiting(index, 1);
    } else if (task.isActive()) {
        this->learner.learnFromEnd(job, task, end, now);
        this->zone.release(index, taskIndex);
        const bool waitsAgain = end == TaskEnd::NotStarted || end == TaskEnd::Preempted || (requeue && end != TaskEnd::Done);
        if (waitsAgain && !job.cancelled) {
            this->zone.requeueTask(index, taskIndex);
        }
    }
    this->zone.removeIfFinished(index);
}

void PlannerCore::reportUsage(const model::JobId &id, std::uint32_t taskIndex, const model::Resources &used, base::SteadyTime now)
{
    const JobIndex index = this->zone.jobs.find(id);
    if (index == NoIndex || taskIndex >= this->zone.jobs.at(index).tasks.size()) {
        return;
    }
    JobEntry &job = this->zone.jobs.at(index);
    TaskEntry &task = job.tasks[taskIndex];
    if (!task.isActive()) {
        return;
    }
    task.peak = model::Resources::larger(task.peak, used);
    if (job.kind == model::JobKind::Service && now - task.sizeLearnedAt >= SizeSampleInterval) {
        task.sizeLearnedAt = now;
        this->zone.workModel.observeSize(job.name, job.declared, task.peak);
    }
    if (used.fitsIn(task.reserved)) {
        task.throttled = false;
        return;
    }
    if (this->zone.grow(index, taskIndex, model::Resources::larger(task.reserved, used))) {
        this->gangReserver.capacityTaken(task.vm);
        return;
    }
    if (!task.throttled) {
        task.throttled = true;
        this->zone.decisions.push_back({DecisionKind::Throttle,
                                        id,
                                        taskIndex,
                                        this->zone.ledger.upstream(task.upstream).id,
                                        task.reserved,
                                        base::ResultCode::Ok,
                                        "The task uses more than its reservation, and its VM has no free capacity."});
    } else if (KindPolicy::forKind(job.kind).isPreemptible() && task.phase == TaskPhase::Running && !task.preempting) {
        this->zone.preempt({index, taskIndex}, base::ResultCode::Preempted, "The throttled task still uses more than its VM has; it moves to another VM.");
    }
}

void PlannerCore::refuse(JobIndex index, base::ResultCode code, const std::string &reason)
{
    JobEntry &job = this->zone.jobs.at(index);
    this->zone.decisions.push_back(Admission::makeDecision(job.id, code, reason));
    this->gangReserver.cancelReservation(index);
    this->zone.removeWaiting(index, job.waiting);
    this->zone.removeIfFinished(index);
}

void PlannerCore::refuseLateRequests(base::SteadyTime now)
{
    while (!this->zone.requestsByLatestStart.empty() && this->zone.requestsByLatestStart.begin()->first < now) {
        const JobIndex index = this->zone.requestsByLatestStart.begin()->second;
        const bool deadlinePassed = this->zone.jobs.at(index).deadline <= now;
        const base::ResultCode code = deadlinePassed ? base::ResultCode::DeadlinePassed : base::ResultCode::DeadlineUnreachable;
        this->refuse(
            index, code, deadlinePassed ? "The deadline passed while the request waited." : "If started now, the request would end after its deadline.");
    }
}

void PlannerCore::refuseImpossibleJobs()
{
    if (!this->limitsChanged) {
        return;
    }
    this->limitsChanged = false;
    for (const JobIndex index : this->zone.jobs.allJobs()) {
        JobEntry &job = this->zone.jobs.at(index);
        if (job.waiting == 0) {
            continue;
        }
        this->zone.updateNeed(job);
        const std::uint64_t tasksAtOnce = job.kind == model::JobKind::Gang ? job.waiting : 1;
        if (job.active > 0) {
            continue;
        }
        const model::Resources all = Demand{job.declared, 0}.multipliedBy(static_cast<std::int64_t>(tasksAtOnce)).resources;
        if (this->zone.ledger.countFittingEmpty(job.declared, tasksAtOnce) < tasksAtOnce) {
            this->refuse(index, base::ResultCode::NeverFits, "The register changed; this zone can no longer hold the job, even when empty.");
        } else if (this->zone.shares.findExceededQuota(job.partner, all, true) != NoIndex) {
            this->refuse(index, base::ResultCode::QuotaExceeded, "The rules changed; the job now needs more than the whole quota.");
        }
    }
}

bool PlannerCore::revokeIfObsolete(const Decision &decision)
{
    if (decision.kind != DecisionKind::Start) {
        return false;
    }
    const JobIndex index = this->zone.jobs.find(decision.job);
    const JobEntry &job = this->zone.jobs.at(index);
    const LedgerUpstream &upstream = this->zone.ledger.upstream(job.tasks[decision.task].upstream);
    if (!job.cancelled && upstream.accepting) {
        return false;
    }
    this->zone.release(index, decision.task);
    if (!job.cancelled) {
        this->zone.requeueTask(index, decision.task);
    }
    this->zone.removeIfFinished(index);
    return true;
}

std::vector<Decision> PlannerCore::takeDecisions(std::size_t maxDecisions)
{
    std::vector<Decision> out;
    while (out.size() < maxDecisions && !this->zone.decisions.empty()) {
        if (Decision &next = this->zone.decisions.front(); !this->revokeIfObsolete(next)) {
            out.push_back(std::move(next));
        }
        this->zone.decisions.pop_front();
    }
    return out;
}

std::vector<Decision> PlannerCore::plan(base::SteadyTime now, std::size_t maxDecisions)
{
    this->zone.health.processTimers(now);
    this->zone.applySlotLimits();
    this->zone.shares.refresh(this->zone.ledger.total(), now);
    this->headroom.observe(this->zone.requestsReserved, now);
    this->preemptor.expireVmReservations(now);
    this->refuseImpossibleJobs();
    this->refuseLateRequests(now);
    this->drainer.moveTasks(now);
    this->consolidator.consolidate(now);
    bool mayStartMore = true;
    while (mayStartMore && this->zone.decisions.size() < std::min(maxDecisions, MaxPendingDecisions)) {
        mayStartMore = this->gangReserver.advance(now) || this->starter.startNext(now);
    }
    if (!mayStartMore) {
        this->starter.reserveForStarving(now);
        this->preemptor.preemptForBlockedJobs(now);
    }
    return this->takeDecisions(maxDecisions);
}

std::string PlannerCore::explain(const model::JobId &id, base::SteadyTime now) const
{
    const JobIndex index = this->zone.jobs.find(id);
    return index == NoIndex ? "This zone's scheduler has no waiting or running task of that job." : this->explainer.explain(index, now);
}

std::vector<PartnerShare> PlannerCore::shares(base::SteadyTime /*now*/) const
{
    return this->zone.shares.partnerShares();
}

LoadView PlannerCore::load(base::SteadyTime now) const
{
    LoadView view;
    view.used = std::min(1.0, this->zone.ledger.reserved().dominantShareOf(this->zone.ledger.total()));
    for (PartnerIndex i = 0; i < this->zone.shares.size(); ++i) {
        view.waiting += static_cast<std::uint32_t>(this->zone.shares.at(i).waitingDemand.slots);
    }
    view.expectedWait = this->admission.expectedWait(this->zone.requestsWaiting, this->zone.allRequestStarts, now);
    view.freeRequestSlots = this->countFreeRequestSlots();
    return view;
}

std::uint32_t PlannerCore::countFreeRequestSlots() const
{
    const Demand &heldByRequests = this->zone.requestsReserved;
    if (this->zone.requestsWaiting > 0) {
        return 0;
    }
    const Demand free = this->zone.ledger.freeCapacity();
    const auto count = std::max<std::int64_t>(1, heldByRequests.slots);
    const model::Resources typicalSize{
        heldByRequests.resources.cpuMillis / count, heldByRequests.resources.memoryMiB / count, heldByRequests.resources.accelerators / count};
    std::int64_t fitting = free.slots;
    fitting = typicalSize.cpuMillis > 0 ? std::min(fitting, free.resources.cpuMillis / typicalSize.cpuMillis) : fitting;
    fitting = typicalSize.memoryMiB > 0 ? std::min(fitting, free.resources.memoryMiB / typicalSize.memoryMiB) : fitting;
    fitting = typicalSize.accelerators > 0 ? std::min(fitting, free.resources.accelerators / typicalSize.accelerators) : fitting;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, fitting));
}

std::unique_ptr<Planner> makePlanner()
{
    return std::make_unique<PlannerCore>();
}

} // namespace cranberryreel::policy
