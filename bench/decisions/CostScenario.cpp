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

/// Processor time of this thread, so that other load on the machine does not count.
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

/// A zone in steady state: one job is submitted for each task that ends, and the time of each decision is recorded. With a backlog, 5,000 more jobs wait.
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

    void step(std::vector<double> &decisionMicros, Clock::duration &processorTime)
    {
        this->now += std::chrono::milliseconds(10);
        const std::size_t endingTask = this->random() % this->runningTasks.size();
        const auto endBegin = Clock::now();
        this->planner->taskEnded(this->runningTasks[endingTask].first, this->runningTasks[endingTask].second, policy::TaskEnd::Done, false, this->now);
        processorTime += Clock::now() - endBegin;
        this->runningTasks[endingTask] = this->runningTasks.back();
        this->runningTasks.pop_back();
        const model::JobSpec spec = this->makeSpec();
        const auto enqueueBegin = Clock::now();
        this->planner->enqueue(spec, this->now);
        processorTime += Clock::now() - enqueueBegin;
        const auto planBegin = Clock::now();
        const auto decisions = this->planner->plan(this->now, 64);
        const auto planTime = Clock::now() - planBegin;
        processorTime += planTime;
        decisionMicros.push_back(micros(planTime));
        this->applyDecisions(decisions);
    }

    std::size_t starts = 0;

private:
    model::JobSpec makeSpec()
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
        this->planner->enqueue(this->makeSpec(), this->now);
        const std::size_t before = this->runningTasks.size();
        this->applyDecisions(this->planner->plan(this->now, 64));
        return this->runningTasks.size() > before || this->submitted < 100;
    }

    void applyDecisions(const std::vector<policy::Decision> &decisions)
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

/// Measures the processor time of a decision by the number of workers, with and without a backlog.
void runCost(Report &report, const BenchOptions &options)
{
    const std::size_t steps = options.quick ? 10000 : 50000;
    for (const bool backlog : {false, true}) {
        std::vector<std::pair<double, double>> means;
        for (const std::uint32_t workers : {50U, 150U, 300U, 600U, 1200U, 2400U}) {
            SteadyZone zone(workers, backlog);
            std::vector<double> decisionMicros;
            Clock::duration processorTime{};
            const std::size_t startsBefore = zone.starts;
            for (std::size_t i = 0; i < steps; ++i) {
                zone.step(decisionMicros, processorTime);
            }
            const double p99 = quantile(decisionMicros, 0.99);
            const double perSecond = static_cast<double>(zone.starts - startsBefore) / (micros(processorTime) / 1e6);
            means.emplace_back(std::log2(workers), mean(decisionMicros));
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
                report.addTarget("decision p99 at 1,200 workers" + suffix, p99, 100, "us", "");
                report.addTarget("starts a second on one core at 1,200 workers" + suffix, perSecond, 20000, "/s", "end, submit and plan included", true);
            }
        }
        const double growth = means.back().second / means.front().second;
        const double logGrowth = means.back().first / means.front().first;
        report.addTarget(std::string("mean cost, 2,400 by 50 workers") + (backlog ? ", backlog" : ""), growth, logGrowth, "times", "limit: log 2400 / log 50");
    }
}

} // namespace cranberryreel::bench
