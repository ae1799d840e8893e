#include "Scenarios.h"

#include <algorithm>
#include <limits>

namespace cranberryreel::bench
{

namespace
{

constexpr std::chrono::milliseconds Length{420000};

void appendAll(std::vector<double> &all, const std::vector<double> &more)
{
    all.insert(all.end(), more.begin(), more.end());
}

std::vector<double> overcommittedFractions(const SimResult &result, const ZoneShape &zone)
{
    std::vector<double> fractions;
    for (const Sample &sample : result.samples) {
        fractions.push_back(static_cast<double>(sample.overcommittedVms) / zone.vms);
    }
    return fractions;
}

} // namespace

/// Measures the waits of requests and batch tasks under each planner variant: 50 VMs at 90% load.
void runWaiting(Report &report, const BenchOptions &options)
{
    for (const SeedSet &seedSet : seedSets(options)) {
        double plannerP99 = 0;
        double bestBaselineP99 = std::numeric_limits<double>::infinity();
        for (const PlannerVariant &variant : plannerVariants()) {
            SimResult total;
            std::vector<double> overcommitted;
            for (const std::uint64_t seed : seedSet.seeds) {
                WorkloadOptions work;
                work.seed = seed;
                work.length = Length;
                const auto planner = variant.make(seed);
                SimResult result = ZoneSim(*planner, work.zone, {}).run(makeWorkload(work), Length);
                appendAll(total.requestWaits, result.requestWaits);
                appendAll(total.batchWaits, result.batchWaits);
                total.preemptions += result.preemptions;
                total.refused += result.refused;
                total.starts += result.starts;
                total.done += result.done;
                appendAll(overcommitted, overcommittedFractions(result, work.zone));
            }
            const double p99 = quantile(total.requestWaits, 0.99);
            plannerP99 = variant.name == "planner/waiting-time" ? p99 : plannerP99;
            bestBaselineP99 = variant.name.rfind("planner", 0) == 0 ? bestBaselineP99 : std::min(bestBaselineP99, p99);
            report.add({"waiting: 50 VMs, 90% load",
                        variant.name,
                        seedSet.name,
                        {{"request_p50_ms", quantile(total.requestWaits, 0.5)},
                         {"request_p99_ms", p99},
                         {"request_max_ms", quantile(total.requestWaits, 1.0)},
                         {"batch_p50_ms", quantile(total.batchWaits, 0.5)},
                         {"batch_p99_ms", quantile(total.batchWaits, 0.99)},
                         {"requests", static_cast<double>(total.requestWaits.size())},
                         {"tasks_done", static_cast<double>(total.done)},
                         {"refused", static_cast<double>(total.refused)},
                         {"overfull_vms_percent", 100 * mean(overcommitted)},
                         {"preempted", static_cast<double>(total.preemptions)}}});
        }
        report.addTarget(
            "request p99 wait / best baseline, 90% load, " + seedSet.name, bestBaselineP99 > 0 ? plannerP99 / bestBaselineP99 : 0, 0.5, "of it", "");
    }
}

} // namespace cranberryreel::bench
