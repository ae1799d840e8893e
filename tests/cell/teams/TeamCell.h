#pragma once

#include "cell/PlannedCell.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace cranberryreel::support
{

/// A cell whose rules name teams, without a network. Tasks of a step all need the same processor time, which is what the quotas limit.
struct TeamCell : PlannedCell {
    struct Team {
        double weight = 1;
        std::uint64_t cpuMillis = 0; ///< Quota; 0 for none.
    };

    static constexpr std::uint32_t ObjectiveMs = 1000;

    /// Whether tasks need tickets of the advice service.
    enum class Advice {
        None,
        Required
    };

    explicit TeamCell(const std::map<std::string, Team> &teams, Advice tickets = Advice::None)
        : advised(tickets)
    {
        this->putTeams(teams);
    }

    void putTeams(const std::map<std::string, Team> &teams)
    {
        auto rules = support::rules(++this->version);
        for (auto &queue : rules->queues) {
            queue->slack = 2.0;
            queue->target_latency_ms = ObjectiveMs;
            if (this->advised == Advice::Required) {
                queue->advice = std::make_unique<cell::wire::AdviceT>();
                queue->advice->decision_us = 30000;
                queue->advice->per_upstream_us = 430;
                queue->advice->valid_ms = 2500;
            }
        }
        for (const auto &[name, team] : teams) {
            auto made = std::make_unique<cell::wire::TeamT>();
            made->name = name;
            made->weight = team.weight;
            made->cpu_millis = team.cpuMillis;
            rules->teams.push_back(std::move(made));
        }
        this->state.apply(put(std::move(rules)));
    }

    void addUpstreams(int count, std::uint32_t cpuMillis)
    {
        for (int i = 0; i < count; ++i) {
            this->addUpstream("u" + std::to_string(this->state.upstreams().size() + 1), cpuMillis);
        }
    }

    /// Accepts a job of one step at the time; returns its number.
    std::uint64_t
    submit(const std::string &team, std::unique_ptr<cell::wire::StepT> step, base::SteadyTime at, const std::string &queue = "wide", bool beyondRate = false)
    {
        auto spec = job("job" + std::to_string(++this->jobs), std::move(step), queue);
        spec->team = team;
        spec->beyond_rate = beyondRate;
        const std::uint64_t number = this->accept(std::move(spec));
        this->acceptedAt[number] = at;
        return number;
    }

    std::uint64_t submit(const std::string &team, std::uint32_t tasks, std::uint32_t cpuMillis, const std::string &queue = "wide", bool beyondRate = false)
    {
        return this->submit(team, step(tasks, cpuMillis), this->now, queue, beyondRate);
    }

    /// Records the starts of the plan.
    void commit(const cell::planning::Plan &plan)
    {
        for (const auto &start : plan.starts) {
            this->state.apply(place(start.task, start.attempt, start.upstream));
            this->runViews[{start.task, start.attempt}] = {false, true, 0};
        }
    }

    /// Processor time of the recorded runs, by team.
    std::map<std::string, std::int64_t> runningCpu() const
    {
        std::map<std::string, std::int64_t> sums;
        cell::planning::forEachRun(this->state,
                                   [&sums](const cell::wire::RunT &, const cell::wire::StepT &run, const cell::wire::JobT &owner, const cell::TaskKey &) {
                                       sums[owner.spec->team] += run.cpu_millis;
                                   });
        return sums;
    }

    /// Starts of each job in the plan.
    static std::map<std::uint64_t, std::size_t> startsByJob(const cell::planning::Plan &plan)
    {
        std::map<std::uint64_t, std::size_t> starts;
        for (const auto &start : plan.starts) {
            ++starts[start.task.step.job];
        }
        return starts;
    }

private:
    const Advice advised;
    std::uint64_t version = 1;
    int jobs = 0;
};

} // namespace cranberryreel::support
