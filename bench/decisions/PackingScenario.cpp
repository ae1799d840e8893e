#include "Scenarios.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberryreel::bench
{

namespace
{

constexpr std::chrono::milliseconds Length{600000};

ZoneShape packingZone()
{
    ZoneShape zone;
    zone.capacity = {32000, 65536, 0};
    zone.slots = 32;
    return zone;
}

WorkloadOptions packingWorkload(std::uint64_t seed)
{
    WorkloadOptions workload;
    workload.seed = seed;
    workload.zone = packingZone();
    workload.length = Length;
    workload.load = 0.6;
    workload.meanCpuMillis = 2000;
    workload.serviceFraction = 0.15;
    workload.requestFraction = 0.1;
    workload.batchFraction = 0.75;
    workload.requestMean = std::chrono::milliseconds(1000);
    workload.batchMean = std::chrono::milliseconds(60000);
    return workload;
}

/// Returns VMs in use by the volume bound when all batch jobs are there at once and should be placed on as few VMs as possible.
double batchPlanRatio(policy::Planner &planner, std::uint64_t seed)
{
    const WorkloadOptions workload = packingWorkload(seed);
    std::vector<SimJob> jobs = makeWorkload(workload);
    double volume = 0;
    std::vector<SimJob> batchPlan;
    for (SimJob &job : jobs) {
        const model::Resources &size = job.spec.perTask;
        const double fraction = std::max(static_cast<double>(size.cpuMillis) / (workload.zone.vms * static_cast<double>(workload.zone.capacity.cpuMillis)),
                                         static_cast<double>(size.memoryMiB) / (workload.zone.vms * static_cast<double>(workload.zone.capacity.memoryMiB)));
        if (job.spec.kind != model::JobKind::Batch || volume + fraction * job.spec.tasks > 0.7) {
            continue;
        }
        volume += fraction * job.spec.tasks;
        job.arrival = std::chrono::milliseconds(0);
        job.runTime = std::chrono::milliseconds(0);
        batchPlan.push_back(job);
    }
    SimOptions options;
    options.warmUp = std::chrono::milliseconds(1000);
    options.usageLag = std::chrono::hours(1);
    const SimResult result = ZoneSim(planner, workload.zone, options).run(batchPlan, std::chrono::milliseconds(1500));
    const Sample &end = result.samples.back();
    return end.vmsInUse / std::ceil(end.volumeBound);
}

/// Returns VMs in use by the volume bound, averaged over time, while jobs come and go.
double churnRatio(policy::Planner &planner, std::uint64_t seed, std::uint64_t &preemptions)
{
    const WorkloadOptions workload = packingWorkload(seed);
    const SimResult result = ZoneSim(planner, workload.zone, {}).run(makeWorkload(workload), Length);
    double inUse = 0;
    double bound = 0;
    for (const Sample &sample : result.samples) {
        inUse += sample.vmsInUse;
        bound += std::ceil(sample.volumeBound);
    }
    preemptions += result.preemptions;
    return inUse / bound;
}

} // namespace

/// Measures VMs in use against the minimum that the reserved volume could fill.
void runPacking(Report &report, const BenchOptions &options)
{
    for (const SeedSet &seedSet : seedSets(options)) {
        for (const PlannerVariant &variant : plannerVariants()) {
            std::vector<double> planned;
            std::vector<double> churn;
            std::uint64_t preemptions = 0;
            for (const std::uint64_t seed : seedSet.seeds) {
                planned.push_back(batchPlanRatio(*variant.make(seed), seed));
                churn.push_back(churnRatio(*variant.make(seed), seed, preemptions));
            }
            report.add({"packing: 50 VMs, VMs in use by the volume bound",
                        variant.name,
                        seedSet.name,
                        {{"planned", mean(planned)}, {"churn_60_percent", mean(churn)}, {"preempted", static_cast<double>(preemptions)}}});
            if (variant.name == "planner/packing") {
                report.addTarget("packing, planned batches, " + seedSet.name, mean(planned), 1.05, "of the bound", "");
                report.addTarget("packing, work coming and going, " + seedSet.name, mean(churn), 1.05, "of the bound", "");
            }
        }
    }
}

} // namespace cranberryreel::bench
