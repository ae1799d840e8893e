#pragma once

#include "cell/CellSamples.h"
#include "cell/Planner.h"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace cranberryreel::support
{

/// A cell whose upstreams have all been read back, planned at one fixed time.
struct PlannedCell {
    cell::CellState state;
    std::map<std::uint64_t, cell::UpstreamTracker> lives;
    cell::AdviceBook advice;
    std::map<cell::TaskKey, std::set<std::uint64_t>> failedAt;
    std::map<std::uint64_t, base::SteadyTime> acceptedAt;
    std::map<cell::RunKey, cell::RunView> views;
    const base::SteadyTime now = base::SteadyTime() + std::chrono::hours(1);

    PlannedCell()
    {
        this->state.apply(put(rules(1)));
    }

    void add(const std::string &id, std::uint32_t cpuMillis)
    {
        this->add(upstream(id, cpuMillis));
    }

    void add(std::unique_ptr<cell::wire::UpstreamT> added)
    {
        const std::string id = added->id;
        this->state.apply(announce(std::move(added)));
        cell::UpstreamTracker life(std::chrono::milliseconds(6000), this->now);
        life.readBack = true;
        this->lives.emplace(this->state.upstreamNamed(id)->number, life);
    }

    /// Accepted just now.
    std::uint64_t accept(std::unique_ptr<cell::wire::JobSpecT> spec)
    {
        const std::string id = spec->id;
        this->state.apply(support::accept(std::move(spec)));
        const std::uint64_t number = this->state.jobNamed(id)->number;
        this->acceptedAt[number] = this->now;
        return number;
    }

    /// Runs there, confirmed and at this percentage.
    void run(const cell::TaskKey &task, std::uint64_t upstream, int percent = 0)
    {
        this->state.apply(place(task, 1, upstream));
        this->views[{task, 1}] = {false, true, percent};
    }

    /// Its tickets for these upstreams are fresh.
    void ticket(const cell::StepKey &step, const std::set<std::uint64_t> &upstreams)
    {
        for (const std::uint64_t upstream : upstreams) {
            const base::SteadyTime until = this->now + std::chrono::seconds(2);
            this->advice.of(step).known.insert(upstream);
            this->advice.of(step).allowed[upstream] = {"ticket", until, this->lives.at(upstream).incarnation, until};
        }
    }

    cell::Plan plan()
    {
        const auto view = [this](const cell::RunKey &key) { return this->views[key]; };
        const cell::PlanInput input{this->state, this->lives, this->advice, this->failedAt, this->acceptedAt, this->now, view};
        return cell::Planner(input).make();
    }
};

} // namespace cranberryreel::support
