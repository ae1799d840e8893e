#include "BaselinePlanner.h"

#include <algorithm>
#include <limits>

namespace cranberryreel::bench
{

namespace
{

constexpr std::size_t None = std::numeric_limits<std::size_t>::max();

double part(std::int64_t amount, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(amount) / static_cast<double>(whole) : 0;
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

BaselinePlanner::BaselinePlanner(Baseline chosen, std::uint64_t seed)
    : baseline(chosen)
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
    std::vector<std::uint32_t> all;
    for (std::uint32_t task = 0; task < spec.tasks; ++task) {
        all.push_back(task);
        if (spec.kind != model::JobKind::Gang) {
            this->queue.push_back({spec.id, {task}});
        }
    }
    if (spec.kind == model::JobKind::Gang) {
        this->queue.push_back({spec.id, all});
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
    const auto place = job.places.find(task);
    this->giveBack(place->second, job.spec.perTask);
    job.places.erase(place);
    if (end != policy::TaskEnd::Done && requeue) {
        this->queue.push_front({id, {task}});
    }
}

void BaselinePlanner::reportUsage(const model::JobId & /*job*/, std::uint32_t /*task*/, const model::Resources & /*used*/, base::SteadyTime /*now*/)
{
}

std::size_t BaselinePlanner::choose(const model::Resources &need)
{
    std::size_t best = None;
    double bestScore = std::numeric_limits<double>::infinity();
    std::size_t fitting = 0;
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
        const Vm &vm = this->vms[i];
        if (vm.freeSlots == 0 || !need.fitsIn(vm.free)) {
            continue;
        }
        ++fitting;
        const double left = part(vm.free.cpuMillis - need.cpuMillis, 1000) + part(vm.free.memoryMiB - need.memoryMiB, 2048);
        double score = 0;
        switch (this->baseline) {
        case Baseline::FirstFit:
        case Baseline::Fifo:
            return i;
        case Baseline::BestFit:
            score = left;
            break;
        case Baseline::WorstFit:
            score = -left;
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

void BaselinePlanner::take(std::size_t vm, const model::Resources &size)
{
    this->vms[vm].free -= size;
    --this->vms[vm].freeSlots;
    ++this->vms[vm].tasks;
}

void BaselinePlanner::giveBack(std::size_t vm, const model::Resources &size)
{
    this->vms[vm].free += size;
    ++this->vms[vm].freeSlots;
    --this->vms[vm].tasks;
}

bool BaselinePlanner::place(const Unit &unit, std::vector<policy::Decision> &decisions)
{
    Job &job = this->jobs.at(unit.job);
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
        const std::size_t vm = this->choose(job.spec.perTask);
        if (vm == None) {
            for (const std::size_t taken : chosen) {
                this->giveBack(taken, job.spec.perTask);
            }
            return false;
        }
        this->take(vm, job.spec.perTask);
        chosen.push_back(vm);
    }
    for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
        job.places[unit.tasks[i]] = chosen[i];
        decisions.push_back({policy::DecisionKind::Start, unit.job, unit.tasks[i], this->vms[chosen[i]].upstream, job.spec.perTask, base::ResultCode::Ok, ""});
    }
    return true;
}

std::vector<policy::Decision> BaselinePlanner::plan(base::SteadyTime now, std::size_t /*most*/)
{
    std::vector<policy::Decision> decisions;
    std::vector<model::Resources> failed;
    for (auto unit = this->queue.begin(); unit != this->queue.end();) {
        const Job &job = this->jobs.at(unit->job);
        if (job.cancelled) {
            unit = this->queue.erase(unit);
            continue;
        }
        if (job.deadline <= now) {
            decisions.push_back({policy::DecisionKind::Refuse, unit->job, 0, "", {}, base::ResultCode::DeadlinePassed, ""});
            unit = this->queue.erase(unit);
            continue;
        }
        const bool hopeless = std::any_of(failed.begin(), failed.end(), [&](const model::Resources &size) { return size.fitsIn(job.spec.perTask); });
        if (!hopeless && this->place(*unit, decisions)) {
            unit = this->queue.erase(unit);
            continue;
        }
        if (this->baseline == Baseline::Fifo) {
            break;
        }
        if (!hopeless && unit->tasks.size() == 1) {
            failed.push_back(job.spec.perTask);
        }
        ++unit;
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
