#include "BaselinePlanner.h"

#include <algorithm>
#include <limits>

namespace cranberryreel::bench
{

namespace
{

constexpr std::size_t NoVm = std::numeric_limits<std::size_t>::max();

double fraction(std::int64_t amount, std::int64_t total)
{
    return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0;
}

} // namespace

const char *baselineName(Baseline baseline)
{
    switch (baseline) {
    case Baseline::FirstFit:
        return "first-fit";
    case Baseline::BestFit:
        return "best-fit";
    case Baseline::WorstFit:
        return "worst-fit";
    case Baseline::Random:
        return "random";
    case Baseline::Fifo:
        return "fifo";
    }
    return "";
}

BaselinePlanner::BaselinePlanner(Baseline chosenBaseline, std::uint64_t seed)
    : baseline(chosenBaseline)
    , random(seed)
{
}

void BaselinePlanner::setRules(const policy::RulesView & /*rules*/)
{
}

void BaselinePlanner::setVm(const policy::VmView &vm)
{
    this->vmByName[vm.vm] = this->vms.size();
    this->vms.push_back({"", vm.capacity, 0, 0});
}

void BaselinePlanner::removeVm(const std::string & /*vm*/)
{
}

void BaselinePlanner::setUpstream(const policy::UpstreamView &upstream, base::SteadyTime /*now*/)
{
    const std::size_t vm = this->vmByName.at(upstream.vm);
    this->vms[vm].upstream = upstream.id;
    this->vms[vm].freeSlots = upstream.slots;
    this->vmByUpstream[upstream.id] = vm;
}

void BaselinePlanner::removeUpstream(const std::string & /*id*/, base::SteadyTime /*now*/)
{
}

policy::Decision BaselinePlanner::enqueue(const model::JobSpec &spec, base::SteadyTime now)
{
    this->restore(spec, now);
    return {policy::DecisionKind::Refuse, spec.id, 0, "", {}, base::ResultCode::Ok, ""};
}

void BaselinePlanner::restore(const model::JobSpec &spec, base::SteadyTime now)
{
    const base::SteadyTime deadline = spec.deadline.count() > 0 ? now + spec.deadline : base::SteadyTime::max();
    this->jobs[spec.id] = {spec, deadline, {}, false};
    std::vector<std::uint32_t> allTasks;
    for (std::uint32_t task = 0; task < spec.tasks; ++task) {
        allTasks.push_back(task);
        if (spec.kind != model::JobKind::Gang) {
            this->queue.push_back({spec.id, {task}});
        }
    }
    if (spec.kind == model::JobKind::Gang) {
        this->queue.push_back({spec.id, allTasks});
    }
}

void BaselinePlanner::adoptTask(
    const model::JobSpec & /*spec*/, std::uint32_t /*task*/, const std::string & /*upstream*/, const model::Resources & /*reserved*/, base::SteadyTime /*now*/)
{
}

void BaselinePlanner::cancel(const model::JobId &job, base::SteadyTime /*now*/)
{
    this->jobs.at(job).cancelled = true;
}

void BaselinePlanner::taskStarted(const model::JobId & /*job*/, std::uint32_t /*task*/, base::SteadyTime /*now*/)
{
}

void BaselinePlanner::taskEnded(const model::JobId &id, std::uint32_t task, policy::TaskEnd end, bool requeue, base::SteadyTime /*now*/)
{
    Job &job = this->jobs.at(id);
    const auto runningTask = job.vmByTask.find(task);
    this->release(runningTask->second, job.spec.perTask);
    job.vmByTask.erase(runningTask);
    if (end != policy::TaskEnd::Done && requeue) {
        this->queue.push_front({id, {task}});
    }
}

void BaselinePlanner::reportUsage(const model::JobId & /*job*/, std::uint32_t /*task*/, const model::Resources & /*used*/, base::SteadyTime /*now*/)
{
}

std::size_t BaselinePlanner::chooseVm(const model::Resources &need)
{
    std::size_t best = NoVm;
    double bestScore = std::numeric_limits<double>::infinity();
    std::size_t fitting = 0;
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
        const Vm &vm = this->vms[i];
        if (vm.freeSlots == 0 || !need.fitsIn(vm.free)) {
            continue;
        }
        ++fitting;
        const double leftover = fraction(vm.free.cpuMillis - need.cpuMillis, 1000) + fraction(vm.free.memoryMiB - need.memoryMiB, 2048);
        double score = 0;
        switch (this->baseline) {
        case Baseline::FirstFit:
        case Baseline::Fifo:
            return i;
        case Baseline::BestFit:
            score = leftover;
            break;
        case Baseline::WorstFit:
            score = -leftover;
            break;
        case Baseline::Random:
            score = this->random() % fitting == 0 ? -static_cast<double>(fitting) : 0;
            break;
        }
        if (score < bestScore) {
            bestScore = score;
            best = i;
        }
    }
    return best;
}

void BaselinePlanner::allocate(std::size_t vm, const model::Resources &size)
{
    this->vms[vm].free -= size;
    --this->vms[vm].freeSlots;
    ++this->vms[vm].tasks;
}

void BaselinePlanner::release(std::size_t vm, const model::Resources &size)
{
    this->vms[vm].free += size;
    ++this->vms[vm].freeSlots;
    --this->vms[vm].tasks;
}

bool BaselinePlanner::startItem(const QueueItem &item, std::vector<policy::Decision> &decisions)
{
    Job &job = this->jobs.at(item.job);
    std::vector<std::size_t> chosenVms;
    for (std::size_t i = 0; i < item.tasks.size(); ++i) {
        const std::size_t vm = this->chooseVm(job.spec.perTask);
        if (vm == NoVm) {
            for (const std::size_t allocated : chosenVms) {
                this->release(allocated, job.spec.perTask);
            }
            return false;
        }
        this->allocate(vm, job.spec.perTask);
        chosenVms.push_back(vm);
    }
    for (std::size_t i = 0; i < item.tasks.size(); ++i) {
        job.vmByTask[item.tasks[i]] = chosenVms[i];
        decisions.push_back(
            {policy::DecisionKind::Start, item.job, item.tasks[i], this->vms[chosenVms[i]].upstream, job.spec.perTask, base::ResultCode::Ok, ""});
    }
    return true;
}

std::vector<policy::Decision> BaselinePlanner::plan(base::SteadyTime now, std::size_t /*most*/)
{
    std::vector<policy::Decision> decisions;
    std::vector<model::Resources> unplaceableSizes;
    for (auto item = this->queue.begin(); item != this->queue.end();) {
        const Job &job = this->jobs.at(item->job);
        if (job.cancelled) {
            item = this->queue.erase(item);
            continue;
        }
        if (job.deadline <= now) {
            decisions.push_back({policy::DecisionKind::Refuse, item->job, 0, "", {}, base::ResultCode::DeadlinePassed, ""});
            item = this->queue.erase(item);
            continue;
        }
        const bool cannotFit =
            std::any_of(unplaceableSizes.begin(), unplaceableSizes.end(), [&](const model::Resources &size) { return size.fitsIn(job.spec.perTask); });
        if (!cannotFit && this->startItem(*item, decisions)) {
            item = this->queue.erase(item);
            continue;
        }
        if (this->baseline == Baseline::Fifo) {
            break;
        }
        if (!cannotFit && item->tasks.size() == 1) {
            unplaceableSizes.push_back(job.spec.perTask);
        }
        ++item;
    }
    return decisions;
}

std::string BaselinePlanner::explain(const model::JobId & /*job*/, base::SteadyTime /*now*/) const
{
    return "";
}

std::vector<policy::PartnerShare> BaselinePlanner::shares(base::SteadyTime /*now*/) const
{
    return {};
}

policy::LoadView BaselinePlanner::load(base::SteadyTime /*now*/) const
{
    policy::LoadView view;
    view.waiting = static_cast<std::uint32_t>(this->queue.size());
    return view;
}

} // namespace cranberryreel::bench
