#pragma once

#include "cell/teams/TeamCell.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::support
{

/// Plans a cell again and again over simulated time. Tasks run for as long as their step estimates; a plan is made every 50 ms.
struct TeamSimulation : TeamCell {
    using Milliseconds = std::chrono::milliseconds;
    static constexpr Milliseconds PlanInterval{50};

    using TeamCell::TeamCell;

    /// What a team submits: `tasks` tasks of one core each and 1 s, at a regular interval.
    struct Load {
        std::string team;
        std::uint32_t tasks = 1;
        Milliseconds interval{1000};
        std::function<void(cell::wire::StepT &)> change = nullptr;
    };

    /// Submits the loads for this time.
    void run(const std::vector<Load> &loads, Milliseconds duration)
    {
        const base::SteadyTime until = this->time + duration;
        for (; this->time < until; this->time += PlanInterval) {
            for (const Load &load : loads) {
                if ((this->time - this->now) % load.interval < PlanInterval) {
                    this->submitLoad(load);
                }
            }
            this->endRuns();
            for (const auto &start : this->planAt()) {
                const cell::wire::JobT &job = *this->state.job(start.task.step.job);
                this->ends.push_back({this->time + Milliseconds(job.spec->steps.front()->estimate_ms), start});
                this->startedAt.try_emplace(job.number, this->time);
            }
        }
    }

    /// The longest wait from acceptance to the first start among the team's jobs; a job that did not start has waited until now.
    Milliseconds longestWait(const std::string &team) const
    {
        base::SteadyTime::duration longest{};
        for (const auto &[number, job] : this->state.jobs()) {
            if (const auto started = this->startedAt.find(number); job->spec->team == team) {
                longest = std::max(longest, (started == this->startedAt.end() ? this->time : started->second) - this->acceptedAt.at(number));
            }
        }
        return std::chrono::duration_cast<Milliseconds>(longest);
    }

    std::map<std::uint64_t, base::SteadyTime> startedAt; ///< By job number.
    base::SteadyTime time = this->now;

private:
    void submitLoad(const Load &load)
    {
        auto step = support::step(load.tasks, 1000);
        step->estimate_ms = 1000;
        if (load.change) {
            load.change(*step);
        }
        this->submit(load.team, std::move(step), this->time);
    }

    void endRuns()
    {
        const auto due = std::partition(this->ends.begin(), this->ends.end(), [this](const auto &end) { return end.first > this->time; });
        for (auto at = due; at != this->ends.end(); ++at) {
            this->state.apply(support::end(at->second.task, at->second.attempt, at->second.upstream, cell::wire::EndKind::Done));
        }
        this->ends.erase(due, this->ends.end());
    }

    std::vector<cell::planning::PlannedStart> planAt()
    {
        const auto plan = this->plan(this->time);
        this->commit(plan);
        return plan.starts;
    }

    std::vector<std::pair<base::SteadyTime, cell::planning::PlannedStart>> ends;
};

} // namespace cranberryreel::support
