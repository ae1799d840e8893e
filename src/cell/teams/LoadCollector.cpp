#include "cell/teams/LoadCollector.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cranberryreel::cell::teams
{

namespace
{

constexpr double PercentScale = 100;

/// An upstream that a new leader has not read back yet, or that is silent, counts until it is lost: it may answer at once, and a backlog of the whole cell
/// compared with the few upstreams that have answered would make a new leader reject everything.
bool isUsable(const wire::UpstreamT &upstream, const std::map<std::uint64_t, UpstreamTracker> &trackers, base::SteadyTime now)
{
    const auto tracker = trackers.find(upstream.number);
    return !upstream.draining && (tracker == trackers.end() || now >= tracker->second.excludedUntil);
}

} // namespace

LoadCollector::LoadCollector(const LoadInput &loadInput)
    : input(loadInput)
    , deadlines(loadInput.acceptedAt, loadInput.now)
{
}

LoadSnapshot LoadCollector::collect()
{
    this->addCapacities();
    this->addTeams();
    for (const std::uint64_t number : this->input.state.openJobs()) {
        this->addJob(*this->input.state.job(number));
    }
    for (auto &[service, builder] : this->services) {
        this->snapshot.services[service] = {builder.build(), this->input.rates.rateOf(service), this->input.arrivals.ratesOf(service, this->input.now)};
    }
    for (auto &[team, builder] : this->quotas) {
        this->snapshot.teams[team].quota = builder.build();
    }
    return std::move(this->snapshot);
}

void LoadCollector::addCapacities()
{
    std::map<std::string, Amounts> totals;
    for (const auto &[number, upstream] : this->input.state.upstreams()) {
        if (isUsable(upstream, this->input.trackers, this->input.now)) {
            totals[upstream.service].add(Amounts(planning::Capacity::totalOf(upstream)));
        }
    }
    for (const auto &[service, total] : totals) {
        this->services[service].setCapacity(total);
    }
}

void LoadCollector::addTeams()
{
    const wire::RulesT *rules = this->input.state.rules();
    if (rules == nullptr || rules->teams.empty()) {
        return;
    }
    double weights = 0;
    for (const auto &team : rules->teams) {
        Amounts limits;
        limits.values = {static_cast<double>(team->cpu_millis), static_cast<double>(team->memory_mib), static_cast<double>(team->accelerators)};
        this->quotas[team->name].setCapacity(limits);
        this->snapshot.teams[team->name].weight = team->weight;
        weights += team->weight;
    }
    if (weights > 0) {
        this->snapshot.meanWeight = weights / static_cast<double>(rules->teams.size());
    }
}

void LoadCollector::addJob(const wire::JobT &job)
{
    const wire::QueueT *queue = this->input.state.queueOf(*job.spec);
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        JobDemand demand;
        demand.service = queue == nullptr ? job.spec->service : queue->service;
        demand.team = job.spec->team;
        demand.beyondRate = job.spec->beyond_rate;
        demand.priority = queue == nullptr ? std::numeric_limits<int>::max() : queue->priority;
        if (const auto estimate = job.occurrences[k]->steps.empty() ? std::nullopt : this->deadlines.estimate(job, k, queue)) {
            demand.timeliness = estimate->timeliness;
        }
        for (std::uint32_t s = 0; s < job.occurrences[k]->steps.size(); ++s) {
            this->addTasks(job, {job.number, k, s}, demand);
        }
        if (demand.tasks > 0) {
            this->snapshot.waiting.push_back(std::move(demand));
        }
    }
}

/// Lasting and filler tasks that wait are left out: their estimates do not say how long they use capacity.
void LoadCollector::addTasks(const wire::JobT &job, const StepKey &key, JobDemand &demand)
{
    const wire::StepT &step = *job.spec->steps[key.step];
    const auto &tasks = job.occurrences[key.occurrence]->steps[key.step]->tasks;
    std::uint32_t waiting = 0;
    for (std::uint32_t t = 0; t < tasks.size(); ++t) {
        waiting += !tasks[t]->done && tasks[t]->runs.empty() ? 1 : 0;
        for (const auto &run : tasks[t]->runs) {
            const std::chrono::milliseconds remaining = this->remainingTime(step, {{key, t}, run->attempt});
            const auto upstream = this->input.state.upstreams().find(run->upstream);
            const bool usable = upstream != this->input.state.upstreams().end() && isUsable(upstream->second, this->input.trackers, this->input.now);
            if (usable) {
                this->services[upstream->second.service].addRun(Amounts(step), remaining);
            }
            if (const auto quota = this->quotas.find(demand.team); quota != this->quotas.end()) {
                quota->second.addRun(Amounts(step), remaining);
            }
        }
    }
    if (isActive(job) && !step.lasting && !step.filler) {
        demand.addTasks(step, waiting);
    }
}

/// From the reported progress or the time since the start. A run that took longer than its estimate may end at any time.
std::chrono::milliseconds LoadCollector::remainingTime(const wire::StepT &step, const RunKey &key) const
{
    if (step.lasting) {
        return FreedCapacity::Horizon;
    }
    const std::chrono::milliseconds estimate(step.estimate_ms);
    const TrackedRun *run = this->input.runs.find(key);
    if (run == nullptr || run->startedAt == base::SteadyTime()) {
        return estimate;
    }
    if (run->percent > 0) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(estimate * (1 - std::min(run->percent / PercentScale, 1.0)));
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(this->input.now - run->startedAt);
    return std::max(estimate - elapsed, std::chrono::milliseconds(0));
}

} // namespace cranberryreel::cell::teams
