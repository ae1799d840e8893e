// Measures the time of one plan of the cell's scheduler: CellBench [UPSTREAMS [RUNS [WAITING [TEAMS [TASKS_PER_JOB [uneven]]]]]]. With "uneven", a third of
// the upstreams is faster, and placement considers speed. Prints microseconds per plan as JSON.
#include "cell/planning/Planner.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

using namespace cranberryreel;

namespace
{

constexpr int Rounds = 200;
constexpr std::uint32_t UpstreamCpuMillis = 32000;

/// Half of the teams have a quota of their part of the cell, so that some of their steps wait for it.
cell::wire::CommandT rulesCommand(int teams, std::uint64_t cellCpuMillis)
{
    cell::wire::CommandT command;
    command.rules = std::make_unique<cell::wire::RulesT>();
    command.rules->version = 1;
    for (const int priority : {0, 2}) {
        auto queue = std::make_unique<cell::wire::QueueT>();
        queue->name = priority == 0 ? "quick" : "wide";
        queue->service = "service";
        queue->priority = priority;
        queue->max_failures = 3;
        queue->advice = std::make_unique<cell::wire::AdviceT>();
        queue->advice->decision_us = 30000;
        queue->advice->per_upstream_us = 430;
        queue->advice->valid_ms = 2500;
        command.rules->queues.push_back(std::move(queue));
    }
    for (int i = 0; i < teams; ++i) {
        auto team = std::make_unique<cell::wire::TeamT>();
        team->name = "team-" + std::to_string(i);
        team->weight = 1 + i % 5;
        team->cpu_millis = i % 2 == 0 ? cellCpuMillis / static_cast<std::uint64_t>(teams) : 0;
        command.rules->teams.push_back(std::move(team));
    }
    return command;
}

cell::wire::CommandT jobCommand(int number, const std::string &queue, std::uint32_t cpuMillis, std::uint32_t tasks, int teams)
{
    cell::wire::CommandT command;
    auto spec = std::make_unique<cell::wire::JobSpecT>();
    spec->id = std::to_string(number);
    spec->queue = queue;
    spec->service = "service";
    spec->zone = "a";
    spec->team = teams > 0 ? "team-" + std::to_string(number % teams) : "";
    auto step = std::make_unique<cell::wire::StepT>();
    step->tasks = tasks;
    step->cpu_millis = cpuMillis;
    step->memory_mib = 2048;
    step->estimate_ms = 1000;
    spec->steps.push_back(std::move(step));
    command.jobs.push_back(std::move(spec));
    return command;
}

struct UnevenSpeeds : cell::health::SpeedSource {
    double speedOf(std::uint64_t upstream) const override
    {
        return upstream % 3 == 0 ? 1.65 : 0.68;
    }

    bool isUneven() const override
    {
        return true;
    }
};

} // namespace

int main(int argc, char **argv)
{
    const int upstreams = argc > 1 ? std::atoi(argv[1]) : 350;
    const int runs = argc > 2 ? std::atoi(argv[2]) : 1600;
    const int waiting = argc > 3 ? std::atoi(argv[3]) : 800;
    const int teams = argc > 4 ? std::atoi(argv[4]) : 0;
    const auto tasksPerJob = static_cast<std::uint32_t>(argc > 5 ? std::atoi(argv[5]) : 10);
    const base::SteadyTime now = base::steadyNow();
    cell::CellState state;
    std::map<std::uint64_t, cell::UpstreamTracker> trackers;
    cell::AdviceCache advice;
    const std::map<cell::TaskKey, std::set<std::uint64_t>> failedUpstreams;
    std::map<std::uint64_t, base::SteadyTime> acceptedAt;
    state.apply(rulesCommand(teams, static_cast<std::uint64_t>(upstreams) * UpstreamCpuMillis));
    for (int i = 0; i < upstreams; ++i) {
        cell::wire::CommandT command;
        auto upstream = std::make_unique<cell::wire::UpstreamT>();
        upstream->id = "upstream-" + std::to_string(i);
        upstream->service = "service";
        upstream->zone = i % 4 == 0 ? "a" : "b";
        upstream->cpu_millis = UpstreamCpuMillis;
        upstream->memory_mib = 131072;
        upstream->labels = {"kind", "rack-" + std::to_string(i / 20)};
        command.upstreams.push_back(std::move(upstream));
        state.apply(command);
        cell::UpstreamTracker tracker(std::chrono::milliseconds(6000), now);
        tracker.readBack = true;
        trackers.emplace(state.upstreamNamed("upstream-" + std::to_string(i))->number, tracker);
    }
    int job = 0;
    for (int placed = 0; placed < runs; placed += static_cast<int>(tasksPerJob)) {
        state.apply(jobCommand(++job, "wide", 4500, tasksPerJob, teams));
        for (std::uint32_t task = 0; task < tasksPerJob; ++task) {
            cell::wire::CommandT command;
            auto placement = std::make_unique<cell::wire::PlacementT>();
            placement->task = std::make_unique<cell::wire::TaskRefT>(cell::toRef({{static_cast<std::uint64_t>(job), 0, 0}, task}));
            placement->attempt = 1;
            placement->upstream = 1 + static_cast<std::uint64_t>(placed + static_cast<int>(task)) % static_cast<std::uint64_t>(upstreams);
            command.placements.push_back(std::move(placement));
            state.apply(command);
        }
    }
    for (int added = 0; added < waiting; added += static_cast<int>(tasksPerJob)) {
        state.apply(jobCommand(++job, added % 200 == 0 ? "quick" : "wide", 9000, tasksPerJob, teams));
        acceptedAt[static_cast<std::uint64_t>(job)] = now - std::chrono::milliseconds(10 * added);
        // The step has advice on all upstreams: a third of them are allowed, with fresh tickets.
        cell::StepAdvice &stepAdvice = advice.adviceFor({static_cast<std::uint64_t>(job), 0, 0});
        for (std::uint64_t upstream = 1; upstream <= static_cast<std::uint64_t>(upstreams); ++upstream) {
            stepAdvice.queried.insert(upstream);
            if (upstream % 3 == 0) {
                stepAdvice.allowed[upstream] = {"ticket", now + std::chrono::hours(1), trackers.at(upstream).incarnation, now + std::chrono::hours(1)};
            }
        }
    }
    cell::planning::PlanInput input{state, trackers, advice, failedUpstreams, acceptedAt, now};
    const UnevenSpeeds speeds;
    cell::planning::UrgentDemand urgentDemand;
    if (argc > 6 && std::string(argv[6]) == "uneven") {
        input.speeds = &speeds;
        input.urgentDemand = &urgentDemand;
    }
    std::size_t starts = 0;
    const base::SteadyTime before = base::steadyNow();
    for (int i = 0; i < Rounds; ++i) {
        starts += cell::planning::Planner(input).makePlan().starts.size();
    }
    const double each = std::chrono::duration<double, std::micro>(base::steadyNow() - before).count() / Rounds;
    std::printf("{\"upstreams\":%d,\"runs\":%d,\"waiting\":%d,\"teams\":%d,\"microseconds_a_plan\":%.0f,\"starts_a_plan\":%zu}\n",
                upstreams,
                runs,
                waiting,
                teams,
                each,
                starts / Rounds);
    return 0;
}
