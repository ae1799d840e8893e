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
constexpr std::size_t WindowSamples = 60; ///< One a second.

struct Sharer {
    const char *name;
    double weight;
    model::Resources size;
    std::chrono::milliseconds runMean;
    std::uint32_t tasksPerJob;
};

const std::array<Sharer, 4> Sharers{{
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

double dominant(const Sharer &sharer, const ZoneShape &zone)
{
    return std::max(static_cast<double>(sharer.size.cpuMillis) / (zone.vms * static_cast<double>(zone.capacity.cpuMillis)),
                    static_cast<double>(sharer.size.memoryMiB) / (zone.vms * static_cast<double>(zone.capacity.memoryMiB)));
}

/// Dominant share by weight at which the first resource is full, tasks taken as divisible.
double levelPerWeight(const ZoneShape &zone)
{
    double cpu = 0;
    double memory = 0;
    for (const Sharer &sharer : Sharers) {
        const double tasks = sharer.weight / dominant(sharer, zone);
        cpu += tasks * static_cast<double>(sharer.size.cpuMillis) / (zone.vms * static_cast<double>(zone.capacity.cpuMillis));
        memory += tasks * static_cast<double>(sharer.size.memoryMiB) / (zone.vms * static_cast<double>(zone.capacity.memoryMiB));
    }
    return 1 / std::max(cpu, memory);
}

/// Twice what the zone can do, from every partner, and ten times from the last.
std::vector<SimJob> backlog(std::uint64_t seed, const ZoneShape &zone)
{
    std::mt19937_64 random(seed);
    std::vector<SimJob> jobs;
    for (const Sharer &sharer : Sharers) {
        const double tasksAtOnce = 1 / dominant(sharer, zone);
        const double rounds = static_cast<double>(Length.count()) / static_cast<double>(sharer.runMean.count());
        const double flood = &sharer == &Sharers.back() ? 5 : 1;
        const auto wanted = static_cast<std::uint32_t>(flood * tasksAtOnce * rounds / sharer.tasksPerJob);
        for (std::uint32_t i = 0; i < wanted; ++i) {
            SimJob job;
            job.spec.id = std::string(sharer.name) + "-" + std::to_string(i);
            job.spec.kind = model::JobKind::Batch;
            job.spec.partner = sharer.name;
            job.spec.name = "work";
            job.spec.tasks = sharer.tasksPerJob;
            job.spec.perTask = sharer.size;
            job.usage = sharer.size;
            job.runTime =
                std::chrono::milliseconds(1 + std::llround(std::exponential_distribution<double>(1.0 / static_cast<double>(sharer.runMean.count()))(random)));
            jobs.push_back(job);
        }
    }
    return jobs;
}

} // namespace

/// Partners with unlike work and more of it than there is room: how far each strays from its due dominant share over any 60 s.
void runFairness(Report &report, const BenchOptions &options)
{
    const ZoneShape zone = sharedZone();
    const double level = levelPerWeight(zone);
    for (const SeedSet &set : seedSets(options)) {
        double worstPoints = 0;
        double worstRelative = 0;
        for (const std::uint64_t seed : set.seeds) {
            const auto planner = policy::makePlanner();
            policy::RulesView rules;
            for (const Sharer &sharer : Sharers) {
                rules.partners.push_back({sharer.name, sharer.weight, "", {}, true, 100000000});
            }
            planner->setRules(rules);
            SimOptions simOptions;
            simOptions.warmUp = std::chrono::milliseconds(1000);
            ZoneSim sim(*planner, zone, simOptions);
            std::deque<std::array<double, Sharers.size()>> window;
            sim.onSample = [&](std::chrono::milliseconds) {
                std::array<double, Sharers.size()> used{};
                for (const policy::PartnerShare &row : planner->shares({})) {
                    for (std::size_t i = 0; i < Sharers.size(); ++i) {
                        used[i] = row.partner == Sharers[i].name ? row.used : used[i];
                    }
                }
                window.push_back(used);
                if (window.size() < WindowSamples) {
                    return;
                }
                for (std::size_t i = 0; i < Sharers.size(); ++i) {
                    double sum = 0;
                    for (const auto &sample : window) {
                        sum += sample[i];
                    }
                    const double fairShare = level * Sharers[i].weight;
                    const double off = std::abs(sum / WindowSamples - fairShare);
                    worstPoints = std::max(worstPoints, 100 * off);
                    worstRelative = std::max(worstRelative, 100 * off / fairShare);
                }
                window.pop_front();
            };
            sim.run(backlog(seed, zone), Length);
        }
        report.add({"fairness: 4 backlogged partners, any 60 s",
                    "planner/waiting-time",
                    set.name,
                    {{"worst_off_points", worstPoints}, {"worst_off_percent_of_due", worstRelative}}});
        report.target("share off its due over any 60 s, " + set.name, worstRelative, 2.0, "% of due", "");
    }
}

} // namespace cranberryreel::bench
