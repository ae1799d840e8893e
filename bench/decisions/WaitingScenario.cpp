#include "Scenarios.h"

#include <algorithm>
#include <limits>

namespace cranberryreel::bench
{

namespace
{

constexpr std::chrono::milliseconds Length{420000};

void append(std::vector<double> &all, const std::vector<double> &more)
{
    all.insert(all.end(), more.begin(), more.end());
}

std::vector<double> overfullPart(const SimResult &result, const ZoneShape &zone)
{
    std::vector<double> parts;
    for (const Sample &sample : result.samples) {
        parts.push_back(static_cast<double>(sample.overfullVms) / zone.vms);
    }
    return parts;
}

} // namespace

/// Hafnarbok's shape at 90% load: what requests and batch tasks wait under each contender.
void runWaiting(Report &report, const BenchOptions &options)
{
    for (const SeedSet &set : seedSets(options)) {
        double ours = 0;
        double best = std::numeric_limits<double>::infinity();
        for (const Contender &contender : contenders()) {
            SimResult sum;
            std::vector<double> overfull;
            for (const std::uint64_t seed : set.seeds) {
                WorkloadOptions work;
                work.seed = seed;
                work.length = Length;
                const auto planner = contender.make(seed);
                SimResult result = ZoneSim(*planner, work.zone, {}).run(makeWorkload(work), Length);
                append(sum.requestWaits, result.requestWaits);
                append(sum.batchWaits, result.batchWaits);
                sum.preemptions += result.preemptions;
                sum.refused += result.refused;
                sum.starts += result.starts;
                sum.done += result.done;
                append(overfull, overfullPart(result, work.zone));
            }
            const double p99 = quantile(sum.requestWaits, 0.99);
            ours = contender.name == "planner/waiting-time" ? p99 : ours;
            best = contender.name.rfind("planner", 0) == 0 ? best : std::min(best, p99);
            report.add({"waiting: 50 VMs, 90% load",
                        contender.name,
                        set.name,
                        {{"request_p50_ms", quantile(sum.requestWaits, 0.5)},
                         {"request_p99_ms", p99},
                         {"request_max_ms", quantile(sum.requestWaits, 1.0)},
                         {"batch_p50_ms", quantile(sum.batchWaits, 0.5)},
                         {"batch_p99_ms", quantile(sum.batchWaits, 0.99)},
                         {"requests", static_cast<double>(sum.requestWaits.size())},
                         {"tasks_done", static_cast<double>(sum.done)},
                         {"refused", static_cast<double>(sum.refused)},
                         {"overfull_vms_percent", 100 * mean(overfull)},
                         {"preempted", static_cast<double>(sum.preemptions)}}});
        }
        report.target("request p99 wait / best baseline, 90% load, " + set.name, best > 0 ? ours / best : 0, 0.5, "of it", "");
    }
}

} // namespace cranberryreel::bench
