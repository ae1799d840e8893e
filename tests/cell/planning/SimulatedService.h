#pragma once

#include "cell/PlannedCell.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::support
{

/// A service whose plans are carried out at once, in simulated time: starts begin with the plan, preempted runs end with it, and runs end after their time.
/// Queue "gangs" has priority 1, "work" 2, "late" 3; none is urgent.
class SimulatedService
{
public:
    SimulatedService(std::size_t upstreams, std::uint32_t cpuMillis)
    {
        auto queues = rules(2);
        queues->queues.clear();
        queues->queues.push_back(queue("gangs", 1, 2));
        queues->queues.push_back(queue("work", 2, 2));
        queues->queues.push_back(queue("late", 3, 2));
        this->cell.state.apply(put(std::move(queues)));
        for (std::size_t i = 0; i < upstreams; ++i) {
            this->cell.addUpstream("u" + std::to_string(i), cpuMillis);
        }
    }

    /// Submits a job of one step that runs for `time`, its estimate unless `estimate` is another. Returns the job's number.
    std::uint64_t submit(const std::string &queueName,
                         std::unique_ptr<cell::wire::StepT> step,
                         std::chrono::milliseconds time,
                         std::optional<std::chrono::milliseconds> estimate = std::nullopt)
    {
        step->estimate_ms = static_cast<std::uint32_t>(estimate.value_or(time).count());
        const std::uint64_t number = this->cell.accept(job("j" + std::to_string(this->jobs++), std::move(step), queueName));
        this->runTimes[number] = time;
        this->submittedAt[number] = this->now;
        this->cell.acceptedAt[number] = this->now;
        return number;
    }

    /// Submits a step whose tasks run until the simulation ends.
    std::uint64_t submitLasting(const std::string &queueName, std::unique_ptr<cell::wire::StepT> step)
    {
        step->lasting = true;
        return this->submit(queueName, std::move(step), std::chrono::hours(24), std::chrono::milliseconds(0));
    }

    /// Plans every 50 ms; calls `each`, if any, before each plan.
    void run(std::chrono::milliseconds duration, const std::function<void()> &each = nullptr)
    {
        for (const base::SteadyTime until = this->now + duration; this->now < until; this->now += PlanInterval) {
            this->endRuns();
            if (each) {
                each();
            }
            this->carryOut(this->cell.plan(this->now));
        }
    }

    /// All runs of the job fail now.
    void endRunsOf(std::uint64_t jobNumber)
    {
        for (auto each = this->running.begin(); each != this->running.end();) {
            const cell::RunKey key = (each++)->first;
            if (key.task.step.job == jobNumber) {
                this->endRun(key, cell::wire::EndKind::Failed);
            }
        }
    }

    bool isRunning(std::uint64_t jobNumber) const
    {
        return std::any_of(this->running.begin(), this->running.end(), [&](const auto &each) { return each.first.task.step.job == jobNumber; });
    }

    bool hasStarted(std::uint64_t jobNumber) const
    {
        return this->startedAt.count(jobNumber) > 0;
    }

    std::size_t runningTasks() const
    {
        return this->running.size();
    }

    /// From its submission to its first start, or until now.
    std::chrono::milliseconds waitOf(std::uint64_t jobNumber) const
    {
        const auto started = this->startedAt.find(jobNumber);
        const base::SteadyTime until = started == this->startedAt.end() ? this->now : started->second;
        return std::chrono::duration_cast<std::chrono::milliseconds>(until - this->submittedAt.at(jobNumber));
    }

    PlannedCell cell;
    base::SteadyTime now = this->cell.now;

private:
    static constexpr std::chrono::milliseconds PlanInterval{50};

    struct Running {
        std::uint64_t upstream = 0;
        base::SteadyTime since;
    };

    void endRun(const cell::RunKey &key, cell::wire::EndKind kind)
    {
        this->cell.state.apply(end(key.task, key.attempt, this->running.at(key).upstream, kind));
        this->cell.runViews.erase(key);
        this->running.erase(key);
    }

    void endRuns()
    {
        std::vector<cell::RunKey> over;
        for (const auto &[key, run] : this->running) {
            const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(this->now - run.since);
            this->cell.runViews[key] = {false, true, 0, elapsed};
            if (elapsed >= this->runTimes.at(key.task.step.job)) {
                over.push_back(key);
            }
        }
        for (const cell::RunKey &key : over) {
            this->endRun(key, cell::wire::EndKind::Done);
        }
    }

    void carryOut(const cell::planning::Plan &plan)
    {
        for (const cell::RunKey &key : plan.preemptions) {
            this->endRun(key, cell::wire::EndKind::Stopped);
        }
        for (const cell::planning::PlannedStart &start : plan.starts) {
            this->cell.state.apply(place(start.task, start.attempt, start.upstream));
            this->cell.runViews[{start.task, start.attempt}] = {false, true, 0, std::chrono::milliseconds(0)};
            this->running[{start.task, start.attempt}] = {start.upstream, this->now};
            this->startedAt.emplace(start.task.step.job, this->now);
        }
    }

    std::size_t jobs = 0;
    std::map<std::uint64_t, std::chrono::milliseconds> runTimes; ///< By job number, like the next two.
    std::map<std::uint64_t, base::SteadyTime> submittedAt;
    std::map<std::uint64_t, base::SteadyTime> startedAt;
    std::map<cell::RunKey, Running> running;
};

} // namespace cranberryreel::support
