#include "ZoneSim.h"

#include <algorithm>

namespace cranberryreel::bench
{

namespace
{

constexpr std::chrono::milliseconds FailureDelay{20};
constexpr std::size_t MaxDecisionsPerCall = 256;

} // namespace

ZoneSim::ZoneSim(policy::Planner &plannerToTest, const ZoneShape &shape, const SimOptions &settings)
    : testedPlanner(plannerToTest)
    , zone(shape)
    , options(settings)
    , vmUsages(shape.vms)
{
    for (std::uint32_t vm = 0; vm < shape.vms; ++vm) {
        this->vmByUpstream[upstreamName(vm)] = vm;
    }
    buildZone(this->testedPlanner, this->zone, this->steadyNow());
}

base::SteadyTime ZoneSim::steadyNow() const
{
    return base::SteadyTime(std::chrono::hours(1)) + this->now;
}

void ZoneSim::pushEvent(std::chrono::milliseconds at, EventKind kind, std::uint32_t job, std::uint32_t task, std::uint32_t attempt)
{
    this->events.push({at, this->sequence++, kind, job, task, attempt});
}

SimResult ZoneSim::run(std::vector<SimJob> workload, std::chrono::milliseconds length)
{
    this->jobs = std::move(workload);
    this->tasks.resize(this->jobs.size());
    for (std::uint32_t i = 0; i < this->jobs.size(); ++i) {
        this->jobById[this->jobs[i].spec.id] = i;
        this->pushEvent(this->jobs[i].arrival, EventKind::Arrival, i);
        if (this->jobs[i].cancelAt.count() > 0) {
            this->pushEvent(this->jobs[i].cancelAt, EventKind::Cancel, i);
        }
    }
    this->pushEvent(this->options.warmUp, EventKind::Sample, 0);
    while (!this->events.empty() && this->events.top().at <= length) {
        this->now = this->events.top().at;
        while (!this->events.empty() && this->events.top().at == this->now) {
            const Event event = this->events.top();
            this->events.pop();
            this->handleEvent(event);
        }
        this->plan();
    }
    return std::move(this->result);
}

bool ZoneSim::isMeasured(const SimJob &job) const
{
    return job.arrival >= this->options.warmUp;
}

void ZoneSim::handleEvent(const Event &event)
{
    switch (event.kind) {
    case EventKind::Arrival:
        return this->submitJob(event.job);
    case EventKind::End:
        return this->endTask(event, policy::TaskEnd::Done);
    case EventKind::Fail:
        return this->endTask(event, policy::TaskEnd::Failed);
    case EventKind::Stopped:
        return this->endTask(event, policy::TaskEnd::Preempted);
    case EventKind::Usage:
        if (const Task &task = this->tasks[event.job][event.task]; task.runs && task.attempt == event.attempt) {
            this->testedPlanner.reportUsage(this->jobs[event.job].spec.id, event.task, this->jobs[event.job].usage, this->steadyNow());
        }
        return;
    case EventKind::Cancel:
        return this->testedPlanner.cancel(this->jobs[event.job].spec.id, this->steadyNow());
    case EventKind::Sample:
        return this->takeSample();
    }
}

void ZoneSim::submitJob(std::uint32_t index)
{
    const SimJob &job = this->jobs[index];
    this->tasks[index].resize(job.spec.tasks);
    for (Task &task : this->tasks[index]) {
        task.remaining = job.runTime;
    }
    if (this->onArrival) {
        this->onArrival(job);
    }
    if (this->testedPlanner.enqueue(job.spec, this->steadyNow()).code != base::ResultCode::Ok) {
        this->refuse(index);
    }
}

void ZoneSim::refuse(std::uint32_t index)
{
    ++this->result.refused;
    const SimJob &job = this->jobs[index];
    if (job.spec.kind == model::JobKind::Request && this->isMeasured(job)) {
        this->result.requestWaits.push_back(static_cast<double>(job.spec.deadline.count()));
    }
}

void ZoneSim::release(const SimJob &job, Task &task)
{
    task.runs = false;
    this->vmUsages[task.vm].tasks -= 1;
    this->vmUsages[task.vm].reserved -= task.reserved;
    this->vmUsages[task.vm].used -= job.usage;
}

void ZoneSim::endTask(const Event &event, policy::TaskEnd taskEnd)
{
    Task &task = this->tasks[event.job][event.task];
    if (!task.runs || task.attempt != event.attempt) {
        return;
    }
    const SimJob &job = this->jobs[event.job];
    if (taskEnd == policy::TaskEnd::Preempted && job.runTime.count() > 0) {
        const auto ran = this->now - this->options.checkpointTime - task.startedAt;
        task.remaining = std::max(std::chrono::milliseconds(1), task.remaining - std::max(std::chrono::milliseconds(0), ran));
    }
    this->release(job, task);
    const bool requeue = taskEnd == policy::TaskEnd::Failed && ++task.failures < this->options.attempts;
    this->result.done += taskEnd == policy::TaskEnd::Done ? 1 : 0;
    this->result.failed += taskEnd == policy::TaskEnd::Failed && !requeue ? 1 : 0;
    this->testedPlanner.taskEnded(job.spec.id, event.task, taskEnd, requeue, this->steadyNow());
}

void ZoneSim::plan()
{
    for (std::size_t decided = MaxDecisionsPerCall; decided >= MaxDecisionsPerCall;) {
        const auto begin = std::chrono::steady_clock::now();
        const std::vector<policy::Decision> decisions = this->testedPlanner.plan(this->steadyNow(), MaxDecisionsPerCall);
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
        ++this->result.planCalls;
        this->result.planSeconds += took.count();
        this->result.worstPlanMillis = std::max(this->result.worstPlanMillis, took.count() * 1000);
        decided = decisions.size();
        for (const policy::Decision &decision : decisions) {
            this->applyDecision(decision);
        }
    }
}

void ZoneSim::applyDecision(const policy::Decision &decision)
{
    const std::uint32_t job = this->jobById.at(decision.job);
    switch (decision.kind) {
    case policy::DecisionKind::Start:
        return this->startTask(decision);
    case policy::DecisionKind::Preempt:
        ++this->result.preemptions;
        return this->pushEvent(this->now + this->options.checkpointTime, EventKind::Stopped, job, decision.task, this->tasks[job][decision.task].attempt);
    case policy::DecisionKind::Throttle:
        ++this->result.throttles;
        return;
    case policy::DecisionKind::Refuse:
        return this->refuse(job);
    }
}

void ZoneSim::startTask(const policy::Decision &decision)
{
    const std::uint32_t index = this->jobById.at(decision.job);
    const SimJob &job = this->jobs[index];
    Task &task = this->tasks[index][decision.task];
    const auto wait = static_cast<double>((this->now - job.arrival).count());
    if (!task.wasStarted && this->isMeasured(job)) {
        if (job.spec.kind == model::JobKind::Request) {
            this->result.requestWaits.push_back(wait);
        } else if (job.spec.kind == model::JobKind::Batch) {
            this->result.batchWaits.push_back(wait);
        } else if (job.spec.kind == model::JobKind::Gang && decision.task == 0) {
            this->result.gangWaits.push_back(wait);
        }
    }
    ++this->result.starts;
    task.wasStarted = true;
    task.runs = true;
    task.vm = this->vmByUpstream.at(decision.upstream);
    task.reserved = decision.reserved;
    task.startedAt = this->now;
    ++task.attempt;
    this->vmUsages[task.vm].tasks += 1;
    this->vmUsages[task.vm].reserved += decision.reserved;
    this->vmUsages[task.vm].used += job.usage;
    this->testedPlanner.taskStarted(decision.job, decision.task, this->steadyNow());
    if (this->options.failing.contains(decision.upstream)) {
        ++this->result.startsOnFailing;
        return this->pushEvent(this->now + FailureDelay, EventKind::Fail, index, decision.task, task.attempt);
    }
    if (job.runTime.count() > 0) {
        this->pushEvent(this->now + task.remaining, EventKind::End, index, decision.task, task.attempt);
    }
    if (job.runTime.count() == 0 || task.remaining > this->options.usageLag) {
        this->pushEvent(this->now + this->options.usageLag, EventKind::Usage, index, decision.task, task.attempt);
    }
}

void ZoneSim::takeSample()
{
    Sample sample;
    sample.at = this->now;
    model::Resources sum;
    std::uint32_t running = 0;
    for (const VmUsage &use : this->vmUsages) {
        sample.vmsInUse += use.tasks > 0 ? 1 : 0;
        sample.overcommittedVms += use.used.memoryMiB > this->zone.capacity.memoryMiB ? 1 : 0;
        sum += use.reserved;
        running += use.tasks;
    }
    sample.volumeBound = std::max({static_cast<double>(sum.cpuMillis) / static_cast<double>(this->zone.capacity.cpuMillis),
                                   static_cast<double>(sum.memoryMiB) / static_cast<double>(this->zone.capacity.memoryMiB),
                                   static_cast<double>(running) / this->zone.slots});
    sample.waiting = this->testedPlanner.load(this->steadyNow()).waiting;
    this->result.samples.push_back(sample);
    if (this->onSample) {
        this->onSample(this->now);
    }
    this->pushEvent(this->now + this->options.sampleInterval, EventKind::Sample, 0);
}

std::vector<ZoneSim::RunningTask> ZoneSim::runningTasks() const
{
    std::vector<RunningTask> found;
    for (std::size_t job = 0; job < this->jobs.size(); ++job) {
        for (const Task &task : this->tasks[job]) {
            if (task.runs) {
                found.push_back({task.vm, task.startedAt + task.remaining, task.reserved, this->jobs[job].runTime.count() == 0});
            }
        }
    }
    return found;
}

} // namespace cranberryreel::bench
