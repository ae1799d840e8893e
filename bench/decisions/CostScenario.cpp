#include "Scenarios.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <random>

namespace cranberryreel::bench
{

namespace
{

constexpr double RunningPerWorker = 5.5; ///< 6,600 tasks on 1,200 workers.
constexpr std::uint32_t Partners = 29;
constexpr std::uint32_t TargetWorkers = 1200;

/// Processor time of this thread, so that what else the machine does is not counted.
struct Clock {
    using duration = std::chrono::nanoseconds;

    static duration now()
    {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }
};

double micros(Clock::duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

/// A zone in steady state: for each task that ends one is submitted, and the time of each decision is taken. With `backlog`, thousands of jobs wait as well.
class SteadyZone
{
public:
    SteadyZone(std::uint32_t workers, bool withBacklog)
        : backlog(withBacklog)
        , random(7)
    {
        this->shape.vms = workers;
        this->shape.acceleratorVms = workers / 2;
        buildZone(*this->planner, this->shape, this->now);
        const auto running = static_cast<std::uint32_t>(RunningPerWorker * workers);
        while (this->runningTasks.size() < running && this->submit()) { }
        for (std::uint32_t i = 0; this->backlog && i < 5000; ++i) {
            this->submit();
        }
    }

    void step(std::vector<double> &decisionMicros, Clock::duration &busy)
    {
        this->now += std::chrono::milliseconds(10);
        const std::size_t ending = this->random() % this->runningTasks.size();
        const auto began = Clock::now();
        this->planner->taskEnded(this->runningTasks[ending].first, this->runningTasks[ending].second, policy::TaskEnd::Done, false, this->now);
        busy += Clock::now() - began;
        this->runningTasks[ending] = this->runningTasks.back();
        this->runningTasks.pop_back();
        const model::JobSpec spec = this->newSpec();
        const auto enqueued = Clock::now();
        this->planner->enqueue(spec, this->now);
        busy += Clock::now() - enqueued;
        const auto planned = Clock::now();
        const auto decisions = this->planner->plan(this->now, 64);
        const auto took = Clock::now() - planned;
        busy += took;
        decisionMicros.push_back(micros(took));
        this->take(decisions);
    }

    std::size_t starts = 0;

private:
    model::JobSpec newSpec()
    {
        model::JobSpec spec;
        spec.id = "j" + std::to_string(this->submitted++);
        const std::uint32_t kind = this->random() % 10;
        spec.kind = kind < 4 ? model::JobKind::Request : (kind < 6 ? model::JobKind::Service : model::JobKind::Batch);
        spec.partner = "partner" + std::to_string(this->random() % Partners);
        spec.name = "work" + std::to_string(this->random() % 20);
        const bool accelerated = this->random() % 6 == 0;
        const double cpu = std::clamp(std::lognormal_distribution<double>(std::log(8000.0), 0.6)(this->random), 200.0, 32000.0);
        const double memory = std::clamp(std::lognormal_distribution<double>(std::log(16000.0), 0.6)(this->random), 200.0, 65000.0);
        spec.perTask = {std::llround(cpu), std::llround(memory), accelerated ? 1 : 0};
        spec.runTime = std::chrono::milliseconds(1000 + this->random() % 600000);
        return spec;
    }

    bool submit()
    {
        this->planner->enqueue(this->newSpec(), this->now);
        const std::size_t before = this->runningTasks.size();
        this->take(this->planner->plan(this->now, 64));
        return this->runningTasks.size() > before || this->submitted < 100;
    }

    void take(const std::vector<policy::Decision> &decisions)
    {
        for (const policy::Decision &decision : decisions) {
            if (decision.kind == policy::DecisionKind::Start) {
                this->planner->taskStarted(decision.job, decision.task, this->now);
                this->runningTasks.emplace_back(decision.job, decision.task);
                ++this->starts;
            } else if (decision.kind == policy::DecisionKind::Preempt) {
                this->planner->taskEnded(decision.job, decision.task, policy::TaskEnd::Preempted, false, this->now);
                const auto found = std::find(this->runningTasks.begin(), this->runningTasks.end(), std::pair(decision.job, decision.task));
                *found = this->runningTasks.back();
                this->runningTasks.pop_back();
            }
        }
    }

    bool backlog;
    std::mt19937_64 random;
    ZoneShape shape;
    std::unique_ptr<policy::Planner> planner = policy::makePlanner();
    base::SteadyTime now{std::chrono::hours(1)};
    std::vector<std::pair<model::JobId, std::uint32_t>> runningTasks;
    std::size_t submitted = 0;
};

} // namespace

/// What a decision costs by the number of workers, with and without a backlog.
void runCost(Report &report, const BenchOptions &options)
{
    const std::size_t steps = options.quick ? 10000 : 50000;
    for (const bool backlog : {false, true}) {
        std::vector<std::pair<double, double>> medians;
        for (const std::uint32_t workers : {50U, 150U, 300U, 600U, 1200U, 2400U}) {
            SteadyZone zone(workers, backlog);
            std::vector<double> decisionMicros;
            Clock::duration busy{};
            const std::size_t startsBefore = zone.starts;
            for (std::size_t i = 0; i < steps; ++i) {
                zone.step(decisionMicros, busy);
            }
            const double p99 = quantile(decisionMicros, 0.99);
            const double perSecond = static_cast<double>(zone.starts - startsBefore) / (micros(busy) / 1e6);
            medians.emplace_back(std::log2(workers), mean(decisionMicros));
            report.add({"cost of a decision",
                        std::to_string(workers) + (backlog ? " workers, 5,000 wait" : " workers, none wait"),
                        "-",
                        {{"workers", static_cast<double>(workers)},
                         {"mean_us", mean(decisionMicros)},
                         {"p50_us", quantile(decisionMicros, 0.5)},
                         {"p99_us", p99},
                         {"max_us", quantile(decisionMicros, 1.0)},
                         {"starts_per_second", perSecond}}});
            if (workers == TargetWorkers) {
                const std::string suffix = backlog ? ", backlog" : "";
                report.target("decision p99 at 1,200 workers" + suffix, p99, 100, "us", "");
                report.target("starts a second on one core at 1,200 workers" + suffix, perSecond, 20000, "/s", "end, submit and plan included", true);
            }
        }
        const double growth = medians.back().second / medians.front().second;
        const double logGrowth = medians.back().first / medians.front().first;
        report.target(std::string("mean cost, 2,400 by 50 workers") + (backlog ? ", backlog" : ""), growth, logGrowth, "times", "limit: log 2400 / log 50");
    }
}

} // namespace cranberryreel::bench
