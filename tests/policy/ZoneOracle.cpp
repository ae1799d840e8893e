#include "ZoneOracle.h"

#include <algorithm>

namespace cranberryreel::policy
{

using model::JobKind;
using Phase = ZoneOracle::Task::Phase;

void ZoneOracle::setVm(const VmView &vm)
{
    this->vms[vm.vm] = vm;
}

void ZoneOracle::removeVm(const std::string &vm)
{
    this->vms.erase(vm);
}

void ZoneOracle::setUpstream(const UpstreamView &upstream)
{
    this->upstreams[upstream.id] = upstream;
}

void ZoneOracle::removeUpstream(const std::string &id)
{
    this->upstreams.erase(id);
}

void ZoneOracle::jobAccepted(const model::JobSpec &spec)
{
    Job job;
    job.spec = spec;
    job.tasks.resize(spec.tasks);
    this->jobById.emplace(spec.id, job);
}

void ZoneOracle::jobCancelled(const model::JobId &id)
{
    Job &job = this->jobById.at(id);
    job.cancelled = true;
    for (Task &task : job.tasks) {
        task.phase = task.phase == Phase::Waiting ? Phase::Ended : task.phase;
    }
}

void ZoneOracle::taskEnded(const model::JobId &id, std::uint32_t index, TaskEnd end, bool requeue)
{
    Job &job = this->jobById.at(id);
    const bool waitsAgain = end == TaskEnd::NotStarted || end == TaskEnd::Preempted || (requeue && end != TaskEnd::Done);
    job.tasks[index] = {};
    job.hadRequeue = job.hadRequeue || waitsAgain;
    job.tasks[index].phase = waitsAgain && !job.cancelled ? Phase::Waiting : Phase::Ended;
}

void ZoneOracle::usageReported(const model::JobId &id, std::uint32_t index, const model::Resources &used)
{
    Task &task = this->jobById.at(id).tasks[index];
    const model::Resources wanted = model::Resources::larger(task.reserved, used);
    const auto vm = this->vms.find(task.vm);
    const model::Resources capacity = vm == this->vms.end() ? model::Resources{} : vm->second.capacity;
    const bool fits = (this->reservedOn(task.vm) - task.reserved + wanted).fitsIn(capacity);
    task.reserved = fits && !task.stopping ? wanted : task.reserved;
}

model::Resources ZoneOracle::reservedOn(const std::string &vm) const
{
    model::Resources sum;
    for (const auto &[id, job] : this->jobById) {
        for (const Task &task : job.tasks) {
            sum += task.phase == Phase::Running && task.vm == vm ? task.reserved : model::Resources{};
        }
    }
    return sum;
}

std::uint32_t ZoneOracle::runningOn(const std::string &upstream) const
{
    std::uint32_t count = 0;
    for (const auto &[id, job] : this->jobById) {
        for (const Task &task : job.tasks) {
            count += task.phase == Phase::Running && task.upstream == upstream ? 1 : 0;
        }
    }
    return count;
}

std::optional<std::string> ZoneOracle::applyDecision(const Decision &decision)
{
    if (this->jobById.count(decision.job) == 0) {
        return "decision about an unknown job";
    }
    switch (decision.kind) {
    case DecisionKind::Start:
        return this->checkStart(decision);
    case DecisionKind::Preempt:
        return this->checkPreempt(decision);
    case DecisionKind::Refuse:
        return this->checkRefuse(decision);
    case DecisionKind::Throttle:
        break;
    }
    return std::nullopt;
}

std::optional<std::string> ZoneOracle::checkStart(const Decision &decision)
{
    Job &job = this->jobById.at(decision.job);
    if (job.cancelled) {
        return "started a cancelled job";
    }
    if (decision.task >= job.tasks.size() || job.tasks[decision.task].phase != Phase::Waiting) {
        return "started a task that is not waiting";
    }
    const auto upstream = this->upstreams.find(decision.upstream);
    if (upstream == this->upstreams.end() || !upstream->second.accepting) {
        return "started on an upstream that takes no work";
    }
    const auto vm = this->vms.find(upstream->second.vm);
    if (vm == this->vms.end() || vm->second.draining) {
        return "started on a VM that takes no work";
    }
    if (!job.spec.service.empty() && upstream->second.service != job.spec.service) {
        return "started on an upstream of another service";
    }
    if (!job.spec.perTask.fitsIn(decision.reserved)) {
        return "reserved less than declared";
    }
    if (this->runningOn(decision.upstream) >= upstream->second.slots) {
        return "started beyond the slots";
    }
    if (!(this->reservedOn(vm->first) + decision.reserved).fitsIn(vm->second.capacity)) {
        return "reserved beyond the VM's capacity";
    }
    job.tasks[decision.task] = {Phase::Running, decision.upstream, vm->first, decision.reserved, false};
    return std::nullopt;
}

std::optional<std::string> ZoneOracle::checkPreempt(const Decision &decision)
{
    const Job &job = this->jobById.at(decision.job);
    Task &task = this->jobById.at(decision.job).tasks.at(decision.task);
    if (task.phase != Phase::Running || task.stopping) {
        return "preempted a task that is not running";
    }
    const auto vm = this->vms.find(task.vm);
    const bool vmIsDraining = vm == this->vms.end() || vm->second.draining;
    if (job.spec.kind != JobKind::Batch && !(job.spec.kind == JobKind::Service && vmIsDraining)) {
        return "preempted a task that is not preemptible";
    }
    task.stopping = true;
    return std::nullopt;
}

std::optional<std::string> ZoneOracle::checkRefuse(const Decision &decision)
{
    Job &job = this->jobById.at(decision.job);
    for (Task &task : job.tasks) {
        if (task.phase == Phase::Running) {
            return "refused a running job";
        }
        task.phase = Phase::Ended;
    }
    return std::nullopt;
}

std::optional<std::string> ZoneOracle::checkGangs() const
{
    for (const auto &[id, job] : this->jobById) {
        const auto isIn = [](Phase phase) { return [phase](const Task &task) { return task.phase == phase; }; };
        const bool anyRuns = std::any_of(job.tasks.begin(), job.tasks.end(), isIn(Phase::Running));
        const bool anyEnded = std::any_of(job.tasks.begin(), job.tasks.end(), isIn(Phase::Ended));
        const bool anyWaits = std::any_of(job.tasks.begin(), job.tasks.end(), isIn(Phase::Waiting));
        if (job.spec.kind == JobKind::Gang && anyRuns && anyWaits && !anyEnded && !job.hadRequeue) {
            return "started part of a gang";
        }
    }
    return std::nullopt;
}

std::vector<std::pair<model::JobId, std::uint32_t>> ZoneOracle::runningTasks() const
{
    std::vector<std::pair<model::JobId, std::uint32_t>> found;
    for (const auto &[id, job] : this->jobById) {
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
            if (job.tasks[i].phase == Phase::Running) {
                found.emplace_back(id, i);
            }
        }
    }
    return found;
}

std::size_t ZoneOracle::waitingJobCount() const
{
    return static_cast<std::size_t>(std::count_if(this->jobById.begin(), this->jobById.end(), [](const auto &entry) {
        const auto &tasks = entry.second.tasks;
        return std::any_of(tasks.begin(), tasks.end(), [](const Task &task) { return task.phase == Phase::Waiting; });
    }));
}

} // namespace cranberryreel::policy
