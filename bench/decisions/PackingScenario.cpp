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

WorkloadOptions packingWork(std::uint64_t seed)
{
    WorkloadOptions work;
    work.seed = seed;
    work.zone = packingZone();
    work.length = Length;
    work.load = 0.6;
    work.meanCpuMillis = 2000;
    work.servicePart = 0.15;
    work.requestPart = 0.1;
    work.batchPart = 0.75;
    work.requestMean = std::chrono::milliseconds(1000);
    work.batchMean = std::chrono::milliseconds(60000);
    return work;
}

/// A plan of room batches: everything there at once, to be put on as few VMs as can be.
double plannedRatio(policy::Planner &planner, std::uint64_t seed)
{
    const WorkloadOptions work = packingWork(seed);
    std::vector<SimJob> jobs = makeWorkload(work);
    double volume = 0;
    std::vector<SimJob> plan;
    for (SimJob &job : jobs) {
        const model::Resources &size = job.spec.perTask;
        const double part = std::max(static_cast<double>(size.cpuMillis) / (work.zone.vms * static_cast<double>(work.zone.capacity.cpuMillis)),
                                     static_cast<double>(size.memoryMiB) / (work.zone.vms * static_cast<double>(work.zone.capacity.memoryMiB)));
        if (job.spec.kind != model::JobKind::Batch || volume + part * job.spec.tasks > 0.7) {
            continue;
        }
        volume += part * job.spec.tasks;
        job.arrival = std::chrono::milliseconds(0);
        job.runTime = std::chrono::milliseconds(0);
        plan.push_back(job);
    }
    SimOptions options;
    options.warmUp = std::chrono::milliseconds(1000);
    options.usageLag = std::chrono::hours(1);
    const SimResult result = ZoneSim(planner, work.zone, options).run(plan, std::chrono::milliseconds(1500));
    const Sample &end = result.samples.back();
    return end.vmsInUse / std::ceil(end.volumeBound);
}

/// Work coming and going: VMs in use by the volume bound, averaged over time.
double churnRatio(policy::Planner &planner, std::uint64_t seed, std::uint64_t &preemptions)
{
    const WorkloadOptions work = packingWork(seed);
    const SimResult result = ZoneSim(planner, work.zone, {}).run(makeWorkload(work), Length);
    double used = 0;
    double bound = 0;
    for (const Sample &sample : result.samples) {
        used += sample.vmsInUse;
        bound += std::ceil(sample.volumeBound);
    }
    preemptions += result.preemptions;
    return used / bound;
}

} // namespace

/// Reifekammer's shape: VMs in use against the least that the volume could fill.
void runPacking(Report &report, const BenchOptions &options)
{
    for (const SeedSet &set : seedSets(options)) {
        for (const Contender &contender : contenders()) {
            std::vector<double> planned;
            std::vector<double> churn;
            std::uint64_t preemptions = 0;
            for (const std::uint64_t seed : set.seeds) {
                planned.push_back(plannedRatio(*contender.make(seed), seed));
                churn.push_back(churnRatio(*contender.make(seed), seed, preemptions));
            }
            report.add({"packing: 50 VMs, VMs in use by the volume bound",
                        contender.name,
                        set.name,
                        {{"planned", mean(planned)}, {"churn_60_percent", mean(churn)}, {"preempted", static_cast<double>(preemptions)}}});
            if (contender.name == "planner/packing") {
                report.target("packing, planned batches, " + set.name, mean(planned), 1.05, "of the bound", "");
                report.target("packing, work coming and going, " + set.name, mean(churn), 1.05, "of the bound", "");
            }
        }
    }
}

} // namespace cranberryreel::bench
