#include "Scenarios.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace cranberryreel::bench
{

namespace
{

constexpr std::chrono::milliseconds Length{360000};
constexpr std::chrono::milliseconds SurgeBegins{120000};
constexpr std::chrono::milliseconds SurgeLasts{60000};
constexpr std::chrono::milliseconds CalmAfter{30000};
constexpr double UrgentLimitMillis = 9600;
constexpr std::uint32_t VmsOfALargeZone = 150;

std::vector<SimJob> surgingWork(std::uint64_t seed, const ZoneShape &zone)
{
    WorkloadOptions work;
    work.seed = seed;
    work.zone = zone;
    work.length = Length;
    work.load = 0.7;
    std::vector<SimJob> jobs = makeWorkload(work);
    WorkloadOptions surge = work;
    surge.length = SurgeLasts;
    surge.load = 0.8;
    surge.servicePart = 0;
    surge.batchPart = 0.75;
    surge.burstiness = 1;
    for (SimJob &job : makeWorkload(surge)) {
        job.arrival += SurgeBegins;
        job.spec.id = "surge-" + job.spec.id;
        jobs.push_back(job);
    }
    return jobs;
}

void runSurge(Report &report, const SeedSet &set)
{
    for (const Contender &contender : contenders()) {
        if (contender.name != "planner/waiting-time" && contender.name != "best-fit" && contender.name != "fifo") {
            continue;
        }
        std::vector<double> during;
        std::vector<double> after;
        std::uint64_t refused = 0;
        for (const std::uint64_t seed : set.seeds) {
            ZoneShape zone;
            zone.vms = VmsOfALargeZone;
            const auto planner = contender.make(seed);
            SimOptions calm;
            calm.warmUp = SurgeBegins + SurgeLasts + CalmAfter;
            SimOptions all;
            all.warmUp = SurgeBegins;
            const SimResult whole = ZoneSim(*planner, zone, all).run(surgingWork(seed, zone), Length);
            const SimResult later = ZoneSim(*contender.make(seed), zone, calm).run(surgingWork(seed, zone), Length);
            during.insert(during.end(), whole.requestWaits.begin(), whole.requestWaits.end());
            after.insert(after.end(), later.requestWaits.begin(), later.requestWaits.end());
            refused += whole.refused;
        }
        report.add({"overload: 150 VMs, 150% for 60 s, then 70%",
                    contender.name,
                    set.name,
                    {{"request_p99_ms", quantile(during, 0.99)},
                     {"request_max_ms", quantile(during, 1.0)},
                     {"p99_from_30_s_after_ms", quantile(after, 0.99)},
                     {"refused", static_cast<double>(refused)}}});
        if (contender.name == "planner/waiting-time") {
            report.target("urgent work starts under overload, max, " + set.name, quantile(during, 1.0), UrgentLimitMillis, "ms", "");
        }
    }
}

void runFailing(Report &report, const SeedSet &set)
{
    for (const Contender &contender : contenders()) {
        SimResult sum;
        for (const std::uint64_t seed : set.seeds) {
            WorkloadOptions work;
            work.seed = seed;
            work.length = Length;
            work.load = 0.6;
            SimOptions options;
            for (std::uint32_t vm = 0; vm < work.zone.vms; vm += 10) {
                options.failing.insert(upstreamName(vm));
            }
            const auto planner = contender.make(seed);
            const SimResult result = ZoneSim(*planner, work.zone, options).run(makeWorkload(work), Length);
            sum.startsOnFailing += result.startsOnFailing;
            sum.starts += result.starts;
            sum.failed += result.failed;
            sum.done += result.done;
        }
        report.add({"failing: 5 of 50 upstreams fail all, 60% load",
                    contender.name,
                    set.name,
                    {{"starts_on_failing_percent", 100.0 * static_cast<double>(sum.startsOnFailing) / static_cast<double>(sum.starts)},
                     {"tasks_lost", static_cast<double>(sum.failed)},
                     {"tasks_done", static_cast<double>(sum.done)}}});
    }
}

double processorMillis()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

/// Processor time for cancelling a whole queue, planning going on.
double cancelOnce(std::uint32_t jobs)
{
    const auto planner = makeWaitingTimePlanner(1);
    ZoneShape zone;
    buildZone(*planner, zone, {});
    const base::SteadyTime now{std::chrono::hours(1)};
    for (std::uint32_t i = 0; i < jobs; ++i) {
        model::JobSpec spec;
        spec.id = "wave" + std::to_string(i);
        spec.kind = model::JobKind::Batch;
        spec.partner = "partner" + std::to_string(i % 29);
        spec.name = "work";
        spec.perTask = zone.capacity;
        planner->enqueue(spec, now);
    }
    planner->plan(now, 100);
    const double began = processorMillis();
    for (std::uint32_t i = 0; i < jobs; ++i) {
        planner->cancel("wave" + std::to_string(i), now);
        if (i % 100 == 0) {
            planner->plan(now, 100);
        }
    }
    return processorMillis() - began;
}

double cancelMillis(std::uint32_t jobs)
{
    double best = cancelOnce(jobs);
    for (int repeat = 0; repeat < 2; ++repeat) {
        best = std::min(best, cancelOnce(jobs));
    }
    return best;
}

} // namespace

/// Surges, upstreams that fail everything, and waves of cancellations.
void runOverload(Report &report, const BenchOptions &options)
{
    for (const SeedSet &set : seedSets(options)) {
        runSurge(report, set);
    }
    for (const SeedSet &set : seedSets(options)) {
        runFailing(report, set);
    }
    const double half = cancelMillis(5000);
    const double whole = cancelMillis(10000);
    const double twice = cancelMillis(20000);
    report.add({"cancellations, planning going on", "planner/waiting-time", "-", {{"of_5000_ms", half}, {"of_10000_ms", whole}, {"of_20000_ms", twice}}});
    report.target("cancelling 20,000 by 5,000", twice / half, 4 * 1.5, "times", "linear is 4; half as much again allowed for noise");
}

} // namespace cranberryreel::bench
