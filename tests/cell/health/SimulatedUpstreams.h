#pragma once

#include "cell/health/UpstreamSpeeds.h"
#include "support/Seed.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <list>
#include <numeric>
#include <random>
#include <vector>

namespace cranberryreel::support
{

/// What a simulated load is like. The defaults are the worst of the ranges that docs/TEAMS-AND-SPEEDS.md names.
struct SimulatedLoad {
    double tasksPerSecond = 600;
    int minTasks = 10; ///< Of a step.
    int maxTasks = 21;
    double spread = 0.3; ///< Standard deviation of the work of a step's tasks, as a share of its mean.
    double tailShare = 0.03; ///< Of the tasks, which take `tailFactor` times as long.
    double tailFactor = 7;
    std::chrono::milliseconds reportInterval{100};
    std::chrono::milliseconds maxDelay{40}; ///< Of the report of an end.
};

/// Upstreams of known speeds that work off steps and report to an UpstreamSpeeds, on simulated time.
class SimulatedUpstreams
{
public:
    SimulatedUpstreams(std::vector<double> speedByUpstream, SimulatedLoad offered)
        : trueSpeeds(std::move(speedByUpstream))
        , load(offered)
    {
    }

    void run(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds Tick{10};
        for (const base::SteadyTime end = this->now + time; this->now < end; this->now += Tick) {
            for (this->due += this->load.tasksPerSecond * 0.01; this->due > 0;) {
                this->due -= this->startStep();
            }
            for (auto task = this->running.begin(); task != this->running.end();) {
                task = this->advance(*task, Tick) ? this->running.erase(task) : std::next(task);
            }
        }
    }

    /// The root mean square of the logarithmic error over the upstreams with at least so many samples.
    double errorAfter(double samples) const
    {
        const double mean = std::accumulate(this->trueSpeeds.begin(), this->trueSpeeds.end(), 0.0) / static_cast<double>(this->trueSpeeds.size());
        double sum = 0;
        int counted = 0;
        for (std::size_t i = 0; i < this->trueSpeeds.size(); ++i) {
            if (const cell::health::SpeedEstimate *estimate = this->speeds.estimateOf(i); estimate != nullptr && estimate->sampleCount() >= samples) {
                sum += std::pow(std::log(this->speeds.speedOf(i) / (this->trueSpeeds[i] / mean)), 2);
                ++counted;
            }
        }
        return std::sqrt(sum / counted);
    }

    /// The share of the pairs of upstreams of different speed whose estimates are in the right order.
    double rankedPairs() const
    {
        double pairs = 0;
        double right = 0;
        for (std::size_t i = 0; i < this->trueSpeeds.size(); ++i) {
            for (std::size_t k = 0; k < this->trueSpeeds.size(); ++k) {
                if (this->trueSpeeds[i] < this->trueSpeeds[k]) {
                    ++pairs;
                    right += this->speeds.speedOf(i) < this->speeds.speedOf(k) ? 1 : 0;
                }
            }
        }
        return right / pairs;
    }

    cell::health::UpstreamSpeeds speeds;
    std::vector<double> trueSpeeds; ///< By upstream number; may change between runs.
    base::SteadyTime now = base::SteadyTime() + std::chrono::hours(1);

private:
    struct Task {
        cell::RunKey key;
        std::uint64_t upstream = 0;
        double work = 0; ///< Milliseconds at speed 1.
        double done = 0;
        std::chrono::milliseconds elapsed{0};
        std::chrono::milliseconds nextReport{0};
        std::chrono::milliseconds delay{0};
    };

    double startStep()
    {
        std::lognormal_distribution<double> meanWork(std::log(1200.0), 0.6);
        std::uniform_int_distribution<int> count(this->load.minTasks, this->load.maxTasks);
        std::normal_distribution<double> spread(1.0, this->load.spread);
        std::uniform_int_distribution<std::size_t> upstream(0, this->trueSpeeds.size() - 1);
        std::uniform_int_distribution<std::int64_t> delay(0, this->load.maxDelay.count());
        std::uniform_int_distribution<std::int64_t> phase(0, this->load.reportInterval.count());
        std::bernoulli_distribution isLong(this->load.tailShare);
        const double mean = std::clamp(meanWork(this->random), 300.0, 6000.0);
        const int tasks = count(this->random);
        ++this->job;
        for (int i = 0; i < tasks; ++i) {
            Task task;
            task.key = {{{this->job, 0, 0}, static_cast<std::uint32_t>(i)}, 1};
            task.upstream = upstream(this->random);
            task.work = mean * std::max(0.2, spread(this->random)) * (isLong(this->random) ? this->load.tailFactor : 1);
            task.delay = std::chrono::milliseconds(delay(this->random));
            task.nextReport = std::chrono::milliseconds(phase(this->random));
            this->running.push_back(task);
        }
        return tasks;
    }

    /// True once the end has been reported.
    bool advance(Task &task, std::chrono::milliseconds time)
    {
        task.elapsed += time;
        task.done += static_cast<double>(time.count()) * this->trueSpeeds[task.upstream];
        if (task.done >= task.work) {
            this->speeds.recordCompletion(task.key, task.upstream, task.elapsed + task.delay, this->now);
            return true;
        }
        if (task.elapsed >= task.nextReport) {
            task.nextReport += this->load.reportInterval;
            this->speeds.recordProgress(task.key, task.upstream, static_cast<int>(100 * task.done / task.work), task.elapsed, this->now);
        }
        return false;
    }

    SimulatedLoad load;
    std::mt19937_64 random{testSeed()};
    std::list<Task> running;
    std::uint64_t job = 0;
    double due = 0;
};

} // namespace cranberryreel::support
