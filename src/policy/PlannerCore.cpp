#include "policy/PlannerCore.h"

#include "policy/ClassPolicy.h"

#include <algorithm>

namespace cranberryreel::policy
{

namespace
{

constexpr std::chrono::seconds SizeLearnInterval{60};
constexpr std::chrono::hours LongestTime{24 * 365}; ///< Longer run times and deadlines count as this.
constexpr std::size_t MaxDecisionsAhead = 4096; ///< Taken but not handed out; planning pauses there.

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
    this->zone.health.present(index, true);
}

void PlannerCore::removeUpstream(const std::string &id, base::SteadyTime /*now*/)
{
    if (const UpstreamIndex index = this->zone.ledger.findUpstream(id); index != NoIndex) {
        this->zone.ledger.removeUpstream(id);
        this->zone.health.present(index, false);
        this->limitsChanged = true;
    }
}

JobEntry PlannerCore::newEntry(const model::JobSpec &spec, base::SteadyTime now)
{
    JobEntry entry;
    entry.id = spec.id;
    entry.kind = spec.kind;
    entry.partner = this->zone.shares.partner(spec.partner);
    entry.name = this->zone.model.name(entry.partner, spec.name);
    entry.service = this->zone.ledger.service(spec.service);
    entry.declared = spec.perTask;
    entry.need = spec.perTask;
    entry.priority = spec.priority;
    entry.runTime = std::min<std::chrono::milliseconds>(spec.runTime, LongestTime);
    entry.enqueuedAt = now;
    entry.sequence = this->zone.nextSequence++;
    entry.repeatable = spec.repeatable;
    if (spec.deadline.count() > 0) {
        entry.deadline = now + std::min<std::chrono::milliseconds>(spec.deadline, LongestTime);
        const auto run = this->zone.model.typicalRunTime(entry.name, entry.runTime).value_or(std::chrono::milliseconds(0));
        entry.latestStart = entry.deadline - run;
    }
    entry.tasks.resize(Admission::tasksOf(spec));
    return entry;
}

Decision PlannerCore::enqueue(const model::JobSpec &spec, base::SteadyTime now)
{
    const JobIndex known = this->zone.jobs.find(spec.id);
    if (known != NoIndex && !this->zone.jobs.at(known).adoptedOnly) {
        return Admission::answer(spec.id, base::ResultCode::Ok, "");
    }
    if (known == NoIndex) {
        if (Decision refusal = this->admission.decide(spec, now); refusal.code != base::ResultCode::Ok) {
            return refusal;
        }
    }
    this->restore(spec, now);
    return Admission::answer(spec.id, base::ResultCode::Ok, "");
}

void PlannerCore::restore(const model::JobSpec &spec, base::SteadyTime now)
{
    JobIndex index = this->zone.jobs.find(spec.id);
    if (index != NoIndex && !this->zone.jobs.at(index).adoptedOnly) {
        return;
    }
    if (index == NoIndex) {
        index = this->zone.jobs.add(this->newEntry(spec, now));
        this->zone.addWaiting(index, Admission::tasksOf(spec));
        return;
    }
    JobEntry &job = this->zone.jobs.at(index);
    job.adoptedOnly = false;
    std::uint32_t absent = 0;
    for (TaskEntry &task : job.tasks) {
        absent += task.phase == TaskPhase::Absent ? 1 : 0;
        task.phase = task.phase == TaskPhase::Absent ? TaskPhase::Waiting : task.phase;
    }
    if (absent > 0) {
        this->zone.addWaiting(index, absent);
    }
}

void PlannerCore::adopt(const model::JobSpec &spec, std::uint32_t task, const std::string &upstream, const model::Resources &reserved, base::SteadyTime now)
{
    const UpstreamIndex place = this->zone.ledger.findUpstream(upstream);
    if (place == NoIndex || task >= Admission::tasksOf(spec)) {
        return;
    }
    JobIndex index = this->zone.jobs.find(spec.id);
    if (index == NoIndex) {
        JobEntry entry = this->newEntry(spec, now);
        entry.adoptedOnly = true;
        for (TaskEntry &other : entry.tasks) {
            other.phase = TaskPhase::Absent;
        }
        index = this->zone.jobs.add(std::move(entry));
    }
    if (!this->zone.jobs.at(index).tasks[task].isActive()) {
        this->zone.adopt(index, task, place, reserved, now);
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
    this->gangs.drop(index);
    if (job.waiting > 0) {
        this->zone.removeWaiting(index, job.waiting);
    }
    for (TaskEntry &task : job.tasks) {
        task.phase = task.phase == TaskPhase::Waiting ? TaskPhase::Ended : task.phase;
    }
    this->zone.forgetIfOver(index);
}

void PlannerCore::started(const model::JobId &id, std::uint32_t taskIndex, base::SteadyTime now)
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
    if (const auto typical = this->zone.model.typicalRunTime(job.name, job.runTime)) {
        task.expectedEnd = now + *typical;
    }
}

void PlannerCore::ended(const model::JobId &id, std::uint32_t taskIndex, TaskEnd end, bool again, base::SteadyTime now)
{
    const JobIndex index = this->zone.jobs.find(id);
    if (index == NoIndex || taskIndex >= this->zone.jobs.at(index).tasks.size()) {
        return;
    }
    JobEntry &job = this->zone.jobs.at(index);
    TaskEntry &task = job.tasks[taskIndex];
    if (task.phase == TaskPhase::Waiting) { // Ended under an earlier scheduler.
        task.phase = TaskPhase::Ended;
        this->zone.removeWaiting(index, 1);
    } else if (task.isActive()) {
        this->learner.ended(job, task, end, now);
        this->zone.release(index, taskIndex);
        const bool waitsAgain = end == TaskEnd::NotStarted || end == TaskEnd::Preempted || (again && end != TaskEnd::Done);
        if (waitsAgain && !job.cancelled) {
            this->zone.putBack(index, taskIndex);
        }
    }
    this->zone.forgetIfOver(index);
}

void PlannerCore::usage(const model::JobId &id, std::uint32_t taskIndex, const model::Resources &used, base::SteadyTime now)
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
    if (job.kind == model::JobKind::Service && now - task.sizeLearnedAt >= SizeLearnInterval) {
        task.sizeLearnedAt = now;
        this->zone.model.observeSize(job.name, job.declared, task.peak);
    }
    if (used.fitsIn(task.reserved)) {
        task.throttled = false;
        return;
    }
    if (this->zone.grow(index, taskIndex, model::Resources::larger(task.reserved, used))) {
        this->gangs.roomTaken(task.vm);
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
                                        "It uses more than it reserved, and its VM has no more to give."});
    } else if (ClassPolicy::of(job.kind).isPreemptible() && task.phase == TaskPhase::Running && !task.preempting) {
        this->zone.preempt({index, taskIndex}, base::ResultCode::Preempted, "It uses more than its VM can give, also throttled; it moves to another VM.");
    }
}

void PlannerCore::refuse(JobIndex index, base::ResultCode code, const std::string &reason)
{
    JobEntry &job = this->zone.jobs.at(index);
    this->zone.decisions.push_back(Admission::answer(job.id, code, reason));
    this->gangs.drop(index);
    this->zone.removeWaiting(index, job.waiting);
    this->zone.forgetIfOver(index);
}

void PlannerCore::refuseLateRequests(base::SteadyTime now)
{
    while (!this->zone.shedding.empty() && this->zone.shedding.begin()->first < now) {
        const JobIndex index = this->zone.shedding.begin()->second;
        const bool passed = this->zone.jobs.at(index).deadline <= now;
        const base::ResultCode code = passed ? base::ResultCode::DeadlinePassed : base::ResultCode::DeadlineUnreachable;
        this->refuse(index, code, passed ? "Its deadline passed while it waited." : "Started now, it would end after its deadline.");
    }
}

void PlannerCore::refuseWhatCannotRun()
{
    if (!this->limitsChanged) {
        return;
    }
    this->limitsChanged = false;
    for (const JobIndex index : this->zone.jobs.all()) {
        JobEntry &job = this->zone.jobs.at(index);
        if (job.waiting == 0) {
            continue;
        }
        this->zone.refreshNeed(job);
        const std::uint64_t together = job.kind == model::JobKind::Gang ? job.waiting : 1;
        if (job.active > 0) {
            continue;
        }
        const model::Resources all = Demand{job.declared, 0}.times(static_cast<std::int64_t>(together)).resources;
        if (this->zone.ledger.everHolds(job.declared, together) < together) {
            this->refuse(index, base::ResultCode::NeverFits, "Since the register changed, this zone could not hold it, even empty.");
        } else if (this->zone.shares.hardLimit(job.partner, all, true) != NoIndex) {
            this->refuse(index, base::ResultCode::QuotaExceeded, "Since the rules changed, it is larger than the whole quota.");
        }
    }
}

bool PlannerCore::isVoid(const Decision &decision)
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
        this->zone.putBack(index, decision.task);
    }
    this->zone.forgetIfOver(index);
    return true;
}

std::vector<Decision> PlannerCore::handOut(std::size_t most)
{
    std::vector<Decision> out;
    while (out.size() < most && !this->zone.decisions.empty()) {
        if (Decision &next = this->zone.decisions.front(); !this->isVoid(next)) {
            out.push_back(std::move(next));
        }
        this->zone.decisions.pop_front();
    }
    return out;
}

std::vector<Decision> PlannerCore::plan(base::SteadyTime now, std::size_t most)
{
    this->zone.health.tick(now);
    this->zone.applySlotLimits();
    this->zone.shares.refresh(this->zone.ledger.total(), now);
    this->headroom.observe(this->zone.requestsReserved, now);
    this->preemptor.expireHolds(now);
    this->refuseWhatCannotRun();
    this->refuseLateRequests(now);
    this->drainer.move(now);
    this->consolidator.advance(now);
    bool more = true;
    while (more && this->zone.decisions.size() < std::min(most, MaxDecisionsAhead)) {
        more = this->gangs.advance(now) || this->starter.startNext(now);
    }
    if (!more) {
        this->starter.reserveForStarving(now);
        this->preemptor.makeRoom(now);
    }
    return this->handOut(most);
}

std::string PlannerCore::explain(const model::JobId &id, base::SteadyTime now) const
{
    const JobIndex index = this->zone.jobs.find(id);
    return index == NoIndex ? "This zone's scheduler has no waiting or running task of that job." : this->explainer.explain(index, now);
}

std::vector<ShareRow> PlannerCore::shares(base::SteadyTime /*now*/) const
{
    return this->zone.shares.rows();
}

LoadView PlannerCore::load(base::SteadyTime now) const
{
    LoadView view;
    view.used = std::min(1.0, this->zone.ledger.reserved().dominantShareOf(this->zone.ledger.total()));
    for (PartnerIndex i = 0; i < this->zone.shares.size(); ++i) {
        view.waiting += static_cast<std::uint32_t>(this->zone.shares.at(i).waitingDemand.slots);
    }
    view.expectedWait = this->admission.expectedWait(this->zone.requestsWaiting, this->zone.allRequestStarts, now);
    view.room = this->requestRoom();
    return view;
}

std::uint32_t PlannerCore::requestRoom() const
{
    const Demand &held = this->zone.requestsReserved;
    if (this->zone.requestsWaiting > 0) {
        return 0;
    }
    const Demand free = this->zone.ledger.room();
    const auto count = std::max<std::int64_t>(1, held.slots);
    const model::Resources usual{held.resources.cpuMillis / count, held.resources.memoryMiB / count, held.resources.accelerators / count};
    std::int64_t room = free.slots;
    room = usual.cpuMillis > 0 ? std::min(room, free.resources.cpuMillis / usual.cpuMillis) : room;
    room = usual.memoryMiB > 0 ? std::min(room, free.resources.memoryMiB / usual.memoryMiB) : room;
    room = usual.accelerators > 0 ? std::min(room, free.resources.accelerators / usual.accelerators) : room;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, room));
}

std::unique_ptr<Planner> makePlanner()
{
    return std::make_unique<PlannerCore>();
}

} // namespace cranberryreel::policy
