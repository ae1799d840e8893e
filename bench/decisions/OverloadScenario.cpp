#include "Scenarios.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace cranberryreel::bench
{

namespace
{

constexpr std::chrono::milliseconds Length{360000};
constexpr std::chrono::milliseconds SurgeStart{120000};
constexpr std::chrono::milliseconds SurgeLength{60000};
constexpr std::chrono::milliseconds RecoveryTime{30000};
constexpr double MaxRequestWaitMillis = 9600;
constexpr std::uint32_t LargeZoneVms = 150;

std::vector<SimJob> surgeWorkload(std::uint64_t seed, const ZoneShape &zone)
{
    WorkloadOptions work;
    work.seed = seed;
    work.zone = zone;
    work.length = Length;
    work.load = 0.7;
    std::vector<SimJob> jobs = makeWorkload(work);
    WorkloadOptions surge = work;
    surge.length = SurgeLength;
    surge.load = 0.8;
    surge.serviceFraction = 0;
    surge.batchFraction = 0.75;
    surge.burstiness = 1;
    for (SimJob &job : makeWorkload(surge)) {
        job.arrival += SurgeStart;
        job.spec.id = "surge-" + job.spec.id;
        jobs.push_back(job);
    }
    return jobs;
}

void runSurge(Report &report, const SeedSet &seedSet)
{
    for (const PlannerVariant &variant : plannerVariants()) {
        if (variant.name != "planner/waiting-time" && variant.name != "best-fit" && variant.name != "fifo") {
            continue;
        }
        std::vector<double> during;
        std::vector<double> after;
        std::uint64_t refused = 0;
        for (const std::uint64_t seed : seedSet.seeds) {
            ZoneShape zone;
            zone.vms = LargeZoneVms;
            const auto planner = variant.make(seed);
            SimOptions afterSurge;
            afterSurge.warmUp = SurgeStart + SurgeLength + RecoveryTime;
            SimOptions fromSurgeOn;
            fromSurgeOn.warmUp = SurgeStart;
            const SimResult surged = ZoneSim(*planner, zone, fromSurgeOn).run(surgeWorkload(seed, zone), Length);
            const SimResult recovered = ZoneSim(*variant.make(seed), zone, afterSurge).run(surgeWorkload(seed, zone), Length);
            during.insert(during.end(), surged.requestWaits.begin(), surged.requestWaits.end());
            after.insert(after.end(), recovered.requestWaits.begin(), recovered.requestWaits.end());
            refused += surged.refused;
        }
        report.add({"overload: 150 VMs, 150% for 60 s, then 70%",
                    variant.name,
                    seedSet.name,
                    {{"request_p99_ms", quantile(during, 0.99)},
                     {"request_max_ms", quantile(during, 1.0)},
                     {"p99_from_30_s_after_ms", quantile(after, 0.99)},
                     {"refused", static_cast<double>(refused)}}});
        if (variant.name == "planner/waiting-time") {
            report.addTarget("urgent work starts under overload, max, " + seedSet.name, quantile(during, 1.0), MaxRequestWaitMillis, "ms", "");
        }
    }
}

void runFailing(Report &report, const SeedSet &seedSet)
{
    for (const PlannerVariant &variant : plannerVariants()) {
        SimResult sum;
        for (const std::uint64_t seed : seedSet.seeds) {
            WorkloadOptions work;
            work.seed = seed;
            work.length = Length;
            work.load = 0.6;
            SimOptions options;
            for (std::uint32_t vm = 0; vm < work.zone.vms; vm += 10) {
                options.failing.insert(upstreamName(vm));
            }
            const auto planner = variant.make(seed);
            const SimResult result = ZoneSim(*planner, work.zone, options).run(makeWorkload(work), Length);
            sum.startsOnFailing += result.startsOnFailing;
            sum.starts += result.starts;
            sum.failed += result.failed;
            sum.done += result.done;
        }
        report.add({"failing: 5 of 50 upstreams fail all, 60% load",
                    variant.name,
                    seedSet.name,
                    {{"starts_on_failing_percent", 100.0 * static_cast<double>(sum.startsOnFailing) / static_cast<double>(sum.starts)},
                     {"tasks_lost", static_cast<double>(sum.failed)},
                     {"tasks_done", static_cast<double>(sum.done)}}});
    }
}

double threadCpuMillis()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

/// Returns the processor time of cancelling all queued jobs while planning goes on.
double measureCancelMillis(std::uint32_t jobs)
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
    const double begin = threadCpuMillis();
    for (std::uint32_t i = 0; i < jobs; ++i) {
        planner->cancel("wave" + std::to_string(i), now);
        if (i % 100 == 0) {
            planner->plan(now, 100);
        }
    }
    return threadCpuMillis() - begin;
}

double minCancelMillis(std::uint32_t jobs)
{
    double best = measureCancelMillis(jobs);
    for (int repeat = 0; repeat < 2; ++repeat) {
        best = std::min(best, measureCancelMillis(jobs));
    }
    return best;
}

} // namespace

/// Measures surges, upstreams that fail every task, and mass cancellations.
void runOverload(Report &report, const BenchOptions &options)
{
    for (const SeedSet &seedSet : seedSets(options)) {
        runSurge(report, seedSet);
    }
    for (const SeedSet &seedSet : seedSets(options)) {
        runFailing(report, seedSet);
    }
    const double millisFor5000 = minCancelMillis(5000);
    const double millisFor10000 = minCancelMillis(10000);
    const double millisFor20000 = minCancelMillis(20000);
    report.add({"cancellations, planning going on",
                "planner/waiting-time",
                "-",
                {{"of_5000_ms", millisFor5000}, {"of_10000_ms", millisFor10000}, {"of_20000_ms", millisFor20000}}});
    report.addTarget("cancelling 20,000 by 5,000", millisFor20000 / millisFor5000, 4 * 1.5, "times", "linear is 4; half as much again allowed for noise");
}

} // namespace cranberryreel::bench
