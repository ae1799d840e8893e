#include "Scenarios.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <random>

namespace cranberryreel::bench
{

namespace
{

constexpr std::chrono::milliseconds Length{360000};
constexpr std::size_t WindowSamples = 60; ///< One per second.

struct PartnerLoad {
    const char *name;
    double weight;
    model::Resources size;
    std::chrono::milliseconds meanRunTime;
    std::uint32_t tasksPerJob;
};

const std::array<PartnerLoad, 4> PartnerLoads{{
    {"partner0", 1.0, {2000, 2048, 0}, std::chrono::milliseconds(8000), 4},
    {"partner1", 1.0, {1000, 4096, 0}, std::chrono::milliseconds(15000), 20},
    {"partner2", 2.0, {4000, 2048, 0}, std::chrono::milliseconds(5000), 2},
    {"partner3", 1.0, {1000, 1024, 0}, std::chrono::milliseconds(10000), 100},
}};

ZoneShape sharedZone()
{
    ZoneShape zone;
    zone.capacity = {32000, 65536, 0};
    zone.slots = 64;
    return zone;
}

double dominantShare(const PartnerLoad &partner, const ZoneShape &zone)
{
    return std::max(static_cast<double>(partner.size.cpuMillis) / (zone.vms * static_cast<double>(zone.capacity.cpuMillis)),
                    static_cast<double>(partner.size.memoryMiB) / (zone.vms * static_cast<double>(zone.capacity.memoryMiB)));
}

/// Returns the dominant share per weight at which the first resource is full, with tasks taken as divisible.
double fairSharePerWeight(const ZoneShape &zone)
{
    double cpu = 0;
    double memory = 0;
    for (const PartnerLoad &partner : PartnerLoads) {
        const double tasks = partner.weight / dominantShare(partner, zone);
        cpu += tasks * static_cast<double>(partner.size.cpuMillis) / (zone.vms * static_cast<double>(zone.capacity.cpuMillis));
        memory += tasks * static_cast<double>(partner.size.memoryMiB) / (zone.vms * static_cast<double>(zone.capacity.memoryMiB));
    }
    return 1 / std::max(cpu, memory);
}

/// Returns jobs worth about the capacity of the zone over the whole run from every partner, and five times as much from the last.
std::vector<SimJob> makeBacklog(std::uint64_t seed, const ZoneShape &zone)
{
    std::mt19937_64 random(seed);
    std::vector<SimJob> jobs;
    for (const PartnerLoad &partner : PartnerLoads) {
        const double tasksAtOnce = 1 / dominantShare(partner, zone);
        const double rounds = static_cast<double>(Length.count()) / static_cast<double>(partner.meanRunTime.count());
        const double backlogFactor = &partner == &PartnerLoads.back() ? 5 : 1;
        const auto jobCount = static_cast<std::uint32_t>(backlogFactor * tasksAtOnce * rounds / partner.tasksPerJob);
        for (std::uint32_t i = 0; i < jobCount; ++i) {
            SimJob job;
            job.spec.id = std::string(partner.name) + "-" + std::to_string(i);
            job.spec.kind = model::JobKind::Batch;
            job.spec.partner = partner.name;
            job.spec.name = "work";
            job.spec.tasks = partner.tasksPerJob;
            job.spec.perTask = partner.size;
            job.usage = partner.size;
            job.runTime = std::chrono::milliseconds(
                1 + std::llround(std::exponential_distribution<double>(1.0 / static_cast<double>(partner.meanRunTime.count()))(random)));
            jobs.push_back(job);
        }
    }
    return jobs;
}

} // namespace

/// Measures how far each partner strays from its fair share over any 60 s, with unlike work and more of it than the zone can run.
void runFairness(Report &report, const BenchOptions &options)
{
    const ZoneShape zone = sharedZone();
    const double sharePerWeight = fairSharePerWeight(zone);
    for (const SeedSet &seedSet : seedSets(options)) {
        double worstPoints = 0;
        double worstRelative = 0;
        for (const std::uint64_t seed : seedSet.seeds) {
            const auto planner = policy::makePlanner();
            policy::RulesView rules;
            for (const PartnerLoad &partner : PartnerLoads) {
                rules.partners.push_back({partner.name, partner.weight, "", {}, true, 100000000});
            }
            planner->setRules(rules);
            SimOptions simOptions;
            simOptions.warmUp = std::chrono::milliseconds(1000);
            ZoneSim sim(*planner, zone, simOptions);
            std::deque<std::array<double, PartnerLoads.size()>> window;
            sim.onSample = [&](std::chrono::milliseconds) {
                std::array<double, PartnerLoads.size()> used{};
                for (const policy::PartnerShare &row : planner->shares({})) {
                    for (std::size_t i = 0; i < PartnerLoads.size(); ++i) {
                        used[i] = row.partner == PartnerLoads[i].name ? row.used : used[i];
                    }
                }
                window.push_back(used);
                if (window.size() < WindowSamples) {
                    return;
                }
                for (std::size_t i = 0; i < PartnerLoads.size(); ++i) {
                    double sum = 0;
                    for (const auto &sample : window) {
                        sum += sample[i];
                    }
                    const double fairShare = sharePerWeight * PartnerLoads[i].weight;
                    const double deviation = std::abs(sum / WindowSamples - fairShare);
                    worstPoints = std::max(worstPoints, 100 * deviation);
                    worstRelative = std::max(worstRelative, 100 * deviation / fairShare);
                }
                window.pop_front();
            };
            sim.run(makeBacklog(seed, zone), Length);
        }
        report.add({"fairness: 4 backlogged partners, any 60 s",
                    "planner/waiting-time",
                    seedSet.name,
                    {{"worst_off_points", worstPoints}, {"worst_off_percent_of_due", worstRelative}}});
        report.addTarget("share off its due over any 60 s, " + seedSet.name, worstRelative, 2.0, "% of due", "");
    }
}

} // namespace cranberryreel::bench
