#include "Scenarios.h"

#include <algorithm>
#include <limits>

namespace cranberryreel::bench
{

namespace
{

constexpr std::chrono::milliseconds Length{900000};
constexpr std::chrono::milliseconds FirstGang{150000};
constexpr std::chrono::milliseconds GangInterval{180000};
constexpr std::uint32_t TasksPerVm = 4;

std::vector<SimJob> workWithGangs(const WorkloadOptions &work)
{
    std::vector<SimJob> jobs = makeWorkload(work);
    const model::Resources &capacity = work.zone.capacity;
    for (auto at = FirstGang; at < Length - GangInterval; at += GangInterval) {
        SimJob gang;
        gang.spec.id = "gang" + std::to_string(at.count());
        gang.spec.kind = model::JobKind::Gang;
        gang.spec.partner = "gangs";
        gang.spec.name = "gang";
        gang.spec.tasks = work.zone.vms / 2 * TasksPerVm;
        gang.spec.perTask = {capacity.cpuMillis / TasksPerVm, capacity.memoryMiB / TasksPerVm, 0};
        gang.usage = gang.spec.perTask;
        gang.arrival = at;
        gang.runTime = std::chrono::milliseconds(30000);
        jobs.push_back(gang);
    }
    return jobs;
}

/// Returns the wait of the gang if nothing else were started from now on, by the actual ends of the running tasks.
double idealWait(const ZoneSim &sim, const ZoneShape &zone, const SimJob &gang)
{
    struct End {
        std::chrono::milliseconds at{0};
        std::uint32_t vm = 0;
        model::Resources freed;
    };
    std::vector<model::Resources> free(zone.vms, zone.capacity);
    std::vector<std::uint32_t> slots(zone.vms, zone.slots);
    std::vector<End> ends;
    for (const ZoneSim::RunningTask &task : sim.runningTasks()) {
        free[task.vm] -= task.reserved;
        --slots[task.vm];
        if (!task.runsForever) {
            ends.push_back({task.end, task.vm, task.reserved});
        }
    }
    std::sort(ends.begin(), ends.end(), [](const End &left, const End &right) { return left.at < right.at; });
    const auto tasksThatFit = [&](std::uint32_t vm) {
        const model::Resources &need = gang.spec.perTask;
        const std::int64_t byResources = std::min(free[vm].cpuMillis / need.cpuMillis, free[vm].memoryMiB / need.memoryMiB);
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::min<std::int64_t>(byResources, slots[vm])));
    };
    std::uint32_t fits = 0;
    for (std::uint32_t vm = 0; vm < zone.vms; ++vm) {
        fits += tasksThatFit(vm);
    }
    if (fits >= gang.spec.tasks) {
        return 0;
    }
    for (const End &end : ends) {
        fits -= tasksThatFit(end.vm);
        free[end.vm] += end.freed;
        ++slots[end.vm];
        fits += tasksThatFit(end.vm);
        if (fits >= gang.spec.tasks) {
            return static_cast<double>((end.at - gang.arrival).count());
        }
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace

/// Measures the wait of gangs of half the zone under 80% other load, relative to the ideal wait.
void runGangs(Report &report, const BenchOptions &options)
{
    for (const SeedSet &set : seedSets(options)) {
        for (const PlannerVariant &variant : plannerVariants()) {
            std::vector<double> waits;
            double idealSum = 0;
            double waitSum = 0;
            std::size_t submittedGangs = 0;
            SimResult total;
            for (const std::uint64_t seed : set.seeds) {
                WorkloadOptions work;
                work.seed = seed;
                work.length = Length;
                work.load = 0.8;
                work.batchMean = std::chrono::milliseconds(20000);
                const auto planner = variant.make(seed);
                ZoneSim sim(*planner, work.zone, {});
                std::vector<double> ideal;
                sim.onArrival = [&](const SimJob &job) {
                    if (job.spec.kind == model::JobKind::Gang) {
                        ideal.push_back(idealWait(sim, work.zone, job));
                    }
                };
                const SimResult result = sim.run(workWithGangs(work), Length);
                submittedGangs += ideal.size();
                waits.insert(waits.end(), result.gangWaits.begin(), result.gangWaits.end());
                for (std::size_t i = 0; i < result.gangWaits.size(); ++i) {
                    idealSum += ideal[i];
                    waitSum += result.gangWaits[i];
                }
                total.preemptions += result.preemptions;
                total.requestWaits.insert(total.requestWaits.end(), result.requestWaits.begin(), result.requestWaits.end());
            }
            const bool allStarted = waits.size() == submittedGangs;
            const double ratio = allStarted && idealSum > 0 ? waitSum / idealSum : std::numeric_limits<double>::infinity();
            report.add({"gangs: half the zone, 80% other load",
                        variant.name,
                        set.name,
                        {{"started", static_cast<double>(waits.size())},
                         {"of", static_cast<double>(submittedGangs)},
                         {"wait_mean_ms", mean(waits)},
                         {"ideal_mean_ms", waits.empty() ? 0 : idealSum / static_cast<double>(waits.size())},
                         {"wait_by_ideal", ratio},
                         {"request_p99_ms", quantile(total.requestWaits, 0.99)},
                         {"preempted", static_cast<double>(total.preemptions)}}});
            if (variant.name == "planner/waiting-time") {
                report.addTarget("gang of half a zone, wait by ideal, " + set.name, ratio, 2.0, "times", "mean over gangs");
            }
        }
    }
}

} // namespace cranberryreel::bench
